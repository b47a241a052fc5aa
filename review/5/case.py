"""A customer's prompts are quiet for 12 s; then some with a part that crashes model runners come.

Judged is LOST as issue 22 has it: from 2 x contact_ms after the fifth crash (the last, if there are
fewer), while such requests still come, sound requests with the same first part begin at the first
attempt less than half as often as without the disruption; 20 or more of each.
"""

import asyncio
import os
import random
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib"))
from fleet import (BROKEN, HELD, TROUBLE, CannotRun, Channel, config_of, encode, new_identifier,
                   now, read_chunk, read_head, request_head, route, run_case, service)

MACHINES = 3
RUNNERS = 6
OTHERS = 30
EVENTS = 6
EVENT_S = 0.1
QUIET_S = 12
BACK_AFTER_S = 3
CONTACT_S = 3.0
BAD_PART = "bad0bad0"
FIRST_PART = "5c1e07a2"
CRASHING_EACH_S = 1.0


async def stream(runner, message, reader, writer):
    """Streams some events; begins to write, and crashes, if the prompt has the bad part."""
    parts = [part.split(":")[0] for part in
             (message.get("Vanilladoor-Prompt-Prefix") or "").split(",")]
    writer.write(encode("HTTP/1.1 200 OK", runner.head(message, [
        runner.stamp(message), ("Content-Type", "text/event-stream"),
        ("Transfer-Encoding", "chunked")])))
    await writer.drain()
    if BAD_PART in parts[:-1]:
        await asyncio.sleep(0.03)
        runner.on_crash(runner)
        return False
    for number in range(1, EVENTS + 1):
        event = b"id: %d\ndata: %s\n\n" % (number, b"t" * 100)
        writer.write(b"%x\r\n%s\r\n" % (len(event), event))
        await writer.drain()
        await asyncio.sleep(EVENT_S)
    writer.write(b"0\r\n\r\n")
    await writer.drain()
    return True


async def main(fleet):
    await fleet.start(config_of(
        [route("chat", "/chat/", "model", "stream", timeout_ms=15000, slo_ms=120, gap_slo_ms=150,
               sticky=True)],
        [service("model", 720)]))
    crashes = []
    runners = []

    async def new_runner():
        runner = await fleet.runner("model", slots=64)
        runner.behave = stream
        runner.on_crash = on_crash
        runners.append(runner)

    def on_crash(runner):
        crashes.append(now())
        fleet.record.write("runner", runner.id, "crashes on the bad part")
        runner.crash()
        asyncio.ensure_future(come_back(runner))

    async def come_back(runner):
        await asyncio.sleep(BACK_AFTER_S)
        fleet.store.remove("servers", runner.id)
        await new_runner()

    for _ in range(RUNNERS):
        await new_runner()
    machines = [await fleet.machine("entry-%d" % number) for number in range(MACHINES)]
    started = set()

    async def ask(parts, what):
        """One request on a channel of its own; returns whether it began at the first attempt."""
        channel = Channel(random.choice(machines))
        identifier = new_identifier()
        status, whole = None, False
        try:
            await channel.open()
            channel.writer.write(request_head(
                "POST", "/chat/t", identifier, 15000, body=b"c" * 440,
                more=[("Vanilladoor-Model", "m"),
                      ("Vanilladoor-Token-Count", "%d,%d" % (100 * len(parts), EVENTS)),
                      ("Vanilladoor-Prompt-Prefix", ",".join("%s:100" % each for each in parts))]))
            head = await asyncio.wait_for(read_head(channel.reader), 3)
            if head is not None:
                status = int(head.first.split(" ")[1])
                if head.get("Transfer-Encoding"):
                    while await asyncio.wait_for(read_chunk(channel.reader), 2):
                        pass
                    whole = True
        except (asyncio.TimeoutError, ConnectionError, asyncio.IncompleteReadError, OSError):
            pass
        channel.close()
        fleet.record.write(what, identifier, "answer:", status, "whole" if whole else "not whole")
        return status == 200

    async def other():
        """Usual traffic of other customers."""
        while True:
            await asyncio.sleep(random.uniform(0.1, 0.4))
            await ask(["%08x" % random.randrange(4), new_identifier()[:8]], "other")

    async def sound(seconds, begun):
        """The customer's sound requests, four a second, for some time."""
        async def one():
            sent = now()
            begun.append((sent, await ask([FIRST_PART, new_identifier()[:8]], "sound")))

        tasks = []
        end = now() + seconds
        while now() < end:
            tasks.append(asyncio.ensure_future(one()))
            await asyncio.sleep(0.25)
        await asyncio.gather(*tasks)

    async def crashing():
        while True:
            asyncio.ensure_future(ask([FIRST_PART, BAD_PART, new_identifier()[:8]], "crashing"))
            await asyncio.sleep(CRASHING_EACH_S)

    others = [asyncio.ensure_future(other()) for _ in range(OTHERS)]
    await asyncio.sleep(3)
    before = []
    await sound(10, before)
    before = [served for _, served in before]
    if len(before) < 20 or sum(before) < 0.9 * len(before):
        raise CannotRun("the usual traffic is not served: %d of %d" % (sum(before), len(before)))
    await asyncio.sleep(QUIET_S)
    bad = asyncio.ensure_future(crashing()) if TROUBLE else None
    await asyncio.sleep(10)
    if TROUBLE and not crashes:
        raise CannotRun("no runner has crashed")
    sent = []
    await sound(25, sent)
    if bad:
        bad.cancel()
    for task in others:
        task.cancel()
    # From the fifth crash, or the last if there are fewer.
    judged_from = crashes[min(4, len(crashes) - 1)] + 2 * CONTACT_S if crashes else 0
    during = [served for at, served in sent if at > judged_from]
    print("crashes of runners: %d" % len(crashes))
    print("sound requests begun at the first attempt, before: %d of %d, during: %d of %d"
          % (sum(before), len(before), sum(during), len(during)))
    fleet.record.write("crashes:", len(crashes), "sound requests begun before:", sum(before), "of",
                       len(before), "during:", sum(during), "of", len(during))
    broken = (len(during) >= 20
              and sum(during) / len(during) < 0.5 * sum(before) / len(before))
    return BROKEN if broken else HELD


run_case(os.path.dirname(os.path.abspath(__file__)), main)
