"""After the VMs were restarted, a customer's usual first part falls with the part that crashes."""

import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "lib-2"))

from standin import *  # noqa: E402,F403

HOST = "127.0.0.1"
VMS, ENGINES = 3, 6
CONTACT_SECONDS = 3
GRACE_SECONDS = 8
BACK_SECONDS = 3
BEFORE_SECONDS, CRASHING_SECONDS, QUIET_SECONDS = 10, 31, 10
CRASHING, CUSTOMER = "dead0bad", "5c1e07a2"
KEY = [("Vanilladoor-Key", "key-1")]


class CrashingEngine(Engine):
    """An engine that crashes as it begins to answer a prompt with one part, and comes back."""

    crashes = []
    boots = 0

    async def run(self, request, reader, writer):
        parts = [each.split(":")[0] for each in (
            request.header("Vanilladoor-Prompt-Prefix") or "").split(",")[:-1]]
        if CRASHING not in parts or request.header("Vanilladoor-Stage") == "prefill":
            return await super().run(request, reader, writer)
        self.began(request)
        await asyncio.sleep(0.02)
        self.crashes.append(now())
        self.record.write("%s crashes on %s" % (
            self.name, request.header("Vanilladoor-Attempt-Id")))
        asyncio.get_running_loop().create_task(self._crash())
        return False

    async def _crash(self):
        port = self.port
        await self.stop()
        await asyncio.sleep(BACK_SECONDS)
        self.store.put("servers", self.name, tombstone=True)
        CrashingEngine.boots += 1
        self.name = "i-boot%03d" % CrashingEngine.boots
        self.born = int(time.time() * 1000)
        await self.start(port)


def prompt(identifier, parts):
    return request_bytes("POST", "/check/x", "site.example", identifier, 2000, KEY + [
        ("Vanilladoor-Model", "m"), ("Vanilladoor-Token-Count", "300,2"),
        ("Vanilladoor-Prompt-Prefix", ",".join("%s:100" % each for each in parts))])


async def case(record, folder):
    store = await Store(HOST).start()
    cloud = await Cloud(HOST, record).start()
    store.put("config", "main", config(7, [
        route("check", "/check/", "stream", "model", 2000, sticky=True, attempts=2, resumable=True,
              gap_slo_ms=150)], [MODEL_SERVICE]))
    Engine.run_seconds = 0.05
    engines = [await CrashingEngine(HOST, store, record, "i-model%d" % each, "model", "zone-1",
                                    "decode").start() for each in range(ENGINES)]
    vms = [Vm(folder, record, HOST, store, cloud, "edge-%d" % each, "zone-1")
           for each in range(1, VMS + 1)]
    sent, tasks = {}, []

    async def one(kind, identifier, parts, vm):
        begun = now()
        answer = await ask(vm, prompt(identifier, parts), 4)
        text = answer if isinstance(answer, str) else str(answer.status)
        sent[identifier] = (kind, begun, text)
        record.write("%s %s sent to %s at %.3f s: %s" % (kind, identifier, vm.name, begun, text))

    async def stream(kind, letter, parts, per_second, seconds):
        until, number = now() + seconds, 0
        while now() < until:
            number += 1
            ready = [vm for vm in vms if vm.is_running()]
            tasks.append(asyncio.create_task(one(
                kind, "%s%07x" % (letter, number), parts + ["%s%07x" % (letter, number)],
                ready[number % len(ready)])))
            await asyncio.sleep(1 / per_second)

    async def restart_all():
        """Stops the VMs in turn and starts them again."""
        for vm in vms:
            vm.signal(signal.SIGTERM)
            deadline = now() + GRACE_SECONDS
            while vm.is_running() and now() < deadline:
                await asyncio.sleep(0.05)
            if vm.is_running():
                vm.process.kill()
            vm.process.wait()
            vm.start()
            await vm.wait_ready()

    try:
        for vm in vms:
            vm.start()
        for vm in vms:
            await vm.wait_ready()
        await asyncio.sleep(1)
        await stream("customer", "a", [CUSTOMER], 4, BEFORE_SECONDS)
        await restart_all()
        await asyncio.sleep(1)
        others = asyncio.create_task(stream("others", "b", ["0a0a0a0a"], 4,
                                            CRASHING_SECONDS + 1))
        crashing = asyncio.create_task(asyncio.sleep(CRASHING_SECONDS) if not TROUBLE else stream(
            "crashing", "d", [CUSTOMER, CRASHING], 1, CRASHING_SECONDS))
        await asyncio.sleep(QUIET_SECONDS)
        await stream("customer", "c", [CUSTOMER], 6, CRASHING_SECONDS - QUIET_SECONDS)
        await asyncio.gather(others, crashing)
        await asyncio.gather(*tasks)
        crashes = CrashingEngine.crashes[:5]
        first = (crashes[-1] if crashes else 0) + 2 * CONTACT_SECONDS
        runs = {key for engine in engines for key in engine.runs}

        def share(letter, since):
            judged = [key for key, (_, begun, _) in sent.items()
                      if key[0] == letter and begun >= since]
            return len([key for key in judged if key in runs]), len(judged)

        before, after, rest = share("a", 0), share("c", first), share("b", first)
        record.write("crashes: %d, the last that counts at %.3f s" % (
            len(CrashingEngine.crashes), crashes[-1] if crashes else 0))
        record.write("the customer's requests that began: %d of %d before, %d of %d from %.1f s on; "
                     "others: %d of %d" % (before + after + (first,) + rest))
        if before[1] < 20 or after[1] < 20:
            raise CannotRun("too few requests to judge")
        return 1 if after[0] / after[1] < 0.5 * before[0] / before[1] else 0
    finally:
        await end_all(vms, engines + [cloud, store])


run_case(FOLDER, case)
