"""A runner spoils the status of a few answers; consumers of one-time requests get no answer."""
import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "lib-2"))
from rig import (Cloud, Machine, Runner, Store, config, consume, main, request, response, route,
                 service)

TIMEOUT_MS = 800        # the route's timeout_ms, as of print-batch at etiketvej
BUDGET_MS = 1500        # the consumer's time budget
GRACE_MS = 500          # CONFIG: no final answer 0.5 s after timeout_ms
CONTACT_S = 3.0         # contact_ms
EPISODES = 3
EPISODE_S = 6.0         # for_s of garble
PAUSE_S = 2.0
INTERVAL_S = 1 / 60     # requests per second, below the 186 of the whole site
SPOILED_EACH = 33       # x = 0.03 of the answers of half of the runners


async def case(record, work, machines, trouble):
    store = await Store(record).listen()
    cloud = await Cloud(record).listen()
    runners = [await Runner(f"i-{n}", "app", record, slots=60).listen() for n in range(4)]
    spoiling = {"on": False}
    counts = {runner.name: 0 for runner in runners}

    async def answer(runner, head, body, writer):
        attempt = head.get("vanilladoor-attempt-id")
        runner.note_run(head, body)
        await asyncio.sleep(0.015)
        status = 200
        if spoiling["on"] and runner in runners[:2]:
            counts[runner.name] += 1
            if counts[runner.name] % SPOILED_EACH == 0:
                status = 900  # one wrong byte: the first digit
                record.add(runner.name, f"spoils the status of its answer to {attempt}: {status}")
        writer.write(response(status, [("Vanilladoor-Attempt-Id", attempt),
                                       ("Vanilladoor-Stamp", f"{runner.name}.{attempt}")],
                              b"ticket " + attempt.encode()))
        await writer.drain()
        return True

    for runner in runners:
        runner.script = answer
        store.put("servers", runner.name, runner.entry())
    store.put("config", "main", config(
        7, [route("r1", "/pule252/", "app", "unsafe", TIMEOUT_MS, 100)], [service("app", 208)],
        {"huka270": ["key1"]}))
    machine = Machine("edge-1", work, store.addr, cloud.addr)
    machines.append(machine.start())
    if not await machine.await_ready():
        record.add("case", "the machine does not become ready")
        return 2
    await asyncio.sleep(CONTACT_S + 1)

    results = []

    async def one(number):
        attempt = f"print{number:05d}"
        started = record.now()
        status, _, _ = await consume(
            record, machine,
            request("POST", "/pule252/2f", attempt, BUDGET_MS, "key1", b"batch"),
            attempt, BUDGET_MS / 1000)
        results.append((attempt, status, (record.now() - started) * 1000))

    tasks = []
    number = 0
    for episode in range(EPISODES):
        spoiling["on"] = trouble
        end = record.now() + EPISODE_S
        while record.now() < end:
            tasks.append(asyncio.create_task(one(number)))
            number += 1
            await asyncio.sleep(INTERVAL_S)
        spoiling["on"] = False
        await asyncio.sleep(PAUSE_S)
    await asyncio.gather(*tasks)

    ready = await machine.is_ready()
    longer = [r for r in results if r[1] == 0 or r[2] > TIMEOUT_MS]
    unanswered = [r for r in longer if r[1] == 0 or r[2] > TIMEOUT_MS + GRACE_MS]
    runs = sum(len(runner.runs) for runner in runners)
    record.add("case", f"{len(results)} requests sent, {runs} run, "
                       f"{sum(r[1] == 200 for r in results)} answered 200; machine ready: {ready}")
    record.add("case", f"{len(longer)} lasted longer than timeout_ms {TIMEOUT_MS}; "
                       f"{len(unanswered)} of them had no answer {GRACE_MS} ms after it: "
                       f"{[r[0] for r in unanswered]}")

    # How long such a consumer waits; not judged.
    if trouble:
        counts[runners[0].name] = counts[runners[1].name] = SPOILED_EACH - 1
        spoiling["on"] = True
        waits = await asyncio.gather(*[
            consume(record, machine,
                    request("POST", "/pule252/2f", f"patient{n}", 30000, "key1", b"batch"),
                    f"patient{n}", 15) for n in range(4)])
        record.add("case", f"with 15 s of patience: {[w[0] or 'no answer' for w in waits]}")
    if len(results) < 500 or not ready:
        return 2
    return 1 if len(unanswered) >= 8 and len(unanswered) > len(longer) / 4 else 0


if __name__ == "__main__":
    sys.exit(main(HERE, case))
