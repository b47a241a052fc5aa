"""Runners that repeat part of an earlier answer on a kept channel: who gets which status?

Half of the requests are failed by their runner with a stamped 500. A consumer that gets a success for
such a request got an answer that the runner did not give (MIXED); one that gets a 503 was told that a
request did not run that ran (REFUSED), and one that was sent on to a second runner may run there
again (TWICE).
"""

import asyncio
import os
import random
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib"))
from fleet import (BROKEN, HELD, TROUBLE, CannotRun, Channel, answer, config_of, new_identifier,
                   request_head, route, run_case, service)

CONSUMERS = 8
REQUESTS = 150
SEED = 28


def remainder(runner, message, chance):
    """Returns the start of an earlier answer, cut off inside its head."""
    kind = chance.choice(["success", "refusal"])
    if kind == "success":
        whole = answer(200, [("Content-Type", "text/plain")] + runner.head(message), b"")
    else:
        whole = answer(503, [("Content-Type", "text/plain"), ("Vanilladoor-Not-Run", "1"),
                             ("X-Reason", "full")], b"")
    return whole[:chance.randrange(1, len(whole) - 4)]


def behaviour(failed, chance):
    late = {}

    async def behave(runner, message, reader, writer):
        identifier = message.get("Vanilladoor-Attempt-Id")
        stray = late.pop(writer, b"")
        await asyncio.sleep(0.01)
        status = chance.choice([200, 500])
        if status == 500:
            failed.add(identifier)
        body = identifier.encode().ljust(800, b".")
        writer.write(stray + answer(status, runner.head(message, [runner.stamp(message)]), body))
        if TROUBLE and chance.random() < 0.5:
            stray = remainder(runner, message, chance)
            arrival = chance.randrange(3)
            if arrival == 0:
                writer.write(stray)
            elif arrival == 1:
                await asyncio.sleep(0.002)
                writer.write(stray)
            else:
                late[writer] = stray
        await writer.drain()
        return True
    return behave


async def main(fleet):
    chance = random.Random(SEED)
    await fleet.start(config_of([route("buy", "/tickets/", "desk", "unsafe", attempts=1)],
                                [service("desk")]))
    failed, statuses, wrong, untrue = set(), {}, [], []
    for _ in range(4):
        runner = await fleet.runner("desk", slots=50)
        runner.behave = behaviour(failed, chance)
    machine = await fleet.machine("entry-1")

    async def consumer():
        channel = Channel(machine)
        for _ in range(REQUESTS):
            if not channel.is_open():
                await channel.open()
            identifier = new_identifier()
            status, _, body = await channel.ask(
                request_head("POST", "/tickets/buy", identifier, 1500, body=b"b" * 40))
            statuses[status] = statuses.get(status, 0) + 1
            fleet.record.write(identifier, status)
            if status == 200 and (identifier in failed
                                  or body != identifier.encode().ljust(800, b".")):
                wrong.append(identifier)
            ran = any(identifier == each for runner in fleet.runners for _, each in runner.runs)
            if status in (408, 421, 429, 503) and ran:
                untrue.append(identifier)
            if status is None:
                channel.close()

    await asyncio.gather(*(consumer() for _ in range(CONSUMERS)))
    print("answers by status:", statuses)
    runs = [identifier for runner in fleet.runners for _, identifier in runner.runs]
    twice = {identifier for identifier in runs if runs.count(identifier) > 1}
    print("successes that the runner did not give: %d, refusals of requests that ran: %d, "
          "run twice: %d" % (len(wrong), len(untrue), len(twice)))
    fleet.record.write("wrong successes:", *wrong)
    fleet.record.write("untrue refusals:", *untrue)
    fleet.record.write("run twice:", *twice)
    if not TROUBLE and set(statuses) != {200, 500}:
        raise CannotRun("sound runners are not served: %s" % statuses)
    return BROKEN if wrong or untrue or twice else HELD


run_case(os.path.dirname(os.path.abspath(__file__)), main)
