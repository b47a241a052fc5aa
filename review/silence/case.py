"""A runner's entry is removed; 0.1 s later the open channels to the store go silent.

Judged is DRAIN: requests that reach the runner later than drain_ms after the store has removed its
entry, sent on by machines that are in touch, so later than contact_ms after the silence began.
"""

import asyncio
import os
import random
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib"))
from fleet import (BROKEN, HELD, TROUBLE, CannotRun, Channel, config_of, new_identifier, now,
                   request_head, route, run_case, service, start_server)

MACHINES = 3
CONSUMERS = 24
RUNNERS = 4
WAVES = 7
DRAIN_S = 2.0
CONTACT_S = 3.0
# The machines of this page are real: a request is judged only if it is this much beyond a bound.
MARGIN_S = 0.05
LINGER_S = 7.0


class StoreProxy:
    """Passes bytes on between the system and the store; open channels may go silent for good."""

    def __init__(self, store):
        self.target = store.address.rsplit(":", 1)
        self.silenced = set()
        self.open = set()

    async def start(self, host):
        self.server, port = await start_server(self.serve, host)
        self.address = "%s:%d" % (host, port)

    def silence(self):
        """Makes all channels that are open now silent; new ones work."""
        self.silenced |= self.open
        return len(self.open)

    async def serve(self, reader, writer):
        mark = object()
        self.open.add(mark)
        far_reader, far_writer = await asyncio.open_connection(self.target[0],
                                                               int(self.target[1]))

        async def relay(source, sink):
            try:
                while True:
                    data = await source.read(65536)
                    if not data:
                        break
                    if mark not in self.silenced:
                        sink.write(data)
                        await sink.drain()
            except (ConnectionError, OSError):
                pass

        tasks = [asyncio.ensure_future(relay(reader, far_writer)),
                 asyncio.ensure_future(relay(far_reader, writer))]
        # The process's own close ends the channel at both sides.
        await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        for task in tasks:
            task.cancel()
        far_writer.close()
        self.open.discard(mark)
        self.silenced.discard(mark)


async def main(fleet):
    await fleet.start(config_of(
        [route("look", "/look/", "desk", "safe", timeout_ms=1500, slo_ms=300, attempts=2)],
        [service("desk")]))
    proxy = StoreProxy(fleet.store)
    await proxy.start(fleet.net + "3")
    real_address, fleet.store.address = fleet.store.address, proxy.address
    runners = [await fleet.runner("desk", slots=12) for _ in range(RUNNERS)]
    machines = [await fleet.machine("entry-%d" % number) for number in range(MACHINES)]
    fleet.store.address = real_address
    sent_at = {}
    statuses = {}
    stopping = asyncio.Event()

    async def consumer(number):
        channel = Channel(machines[number % MACHINES])
        while not stopping.is_set():
            await asyncio.sleep(random.uniform(0.02, 0.1))
            if not channel.is_open():
                await channel.open()
            identifier = new_identifier()
            sent_at[identifier] = now()
            status, _, _ = await channel.ask(request_head("GET", "/look/t", identifier, 3000))
            statuses[status] = statuses.get(status, 0) + 1
            if status is None:
                channel.close()
        channel.close()

    tasks = [asyncio.ensure_future(consumer(number)) for number in range(CONSUMERS)]
    await asyncio.sleep(6)
    if statuses.get(200, 0) < 100:
        raise CannotRun("the quiet traffic is not served: %s" % statuses)
    late = []
    for _ in range(WAVES):
        leaving = runners.pop(0)
        leaving.stop_beating()
        fleet.store.remove("servers", leaving.id)
        acknowledged = now()
        fleet.record.write("entry of", leaving.id, "is removed; the runner goes on for", LINGER_S)
        await asyncio.sleep(0.1)
        silent_at = now()
        if TROUBLE:
            fleet.record.write(proxy.silence(), "channels to the store go silent")
        runners.append(await fleet.runner("desk", slots=12))
        await asyncio.sleep(LINGER_S)
        bound = acknowledged + DRAIN_S
        in_touch = silent_at + CONTACT_S if TROUBLE else 0
        wave = [at - bound for at, identifier in leaving.runs
                if at > bound + MARGIN_S and at > in_touch + MARGIN_S
                and sent_at[identifier] > in_touch + MARGIN_S]
        last = max([at for at, _ in leaving.runs if at > acknowledged], default=acknowledged)
        fleet.record.write("reached", leaving.id, "too late:", len(wave), "requests; the last run",
                           "%.3f s after its removal" % (last - acknowledged))
        print("removed runner: last request %.3f s after the ack; %d too late by machines in touch"
              % (last - acknowledged, len(wave)))
        late += wave
        leaving.server.close()
        await asyncio.sleep(2.5)
    stopping.set()
    await asyncio.gather(*tasks)
    print("answers by status:", statuses)
    return BROKEN if late else HELD


run_case(os.path.dirname(os.path.abspath(__file__)), main)
