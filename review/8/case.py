"""After odd entries of another writer, VMs that start again never learn of their runners."""

import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "lib-2"))

from standin import *  # noqa: E402,F403

HOST = "127.0.0.1"
VMS = 2
ODD_ENTRIES = 24
VALUE_BYTES = 1048576
RECOVER_SECONDS = 12
REQUESTS = 40


def odd_entry():
    """An entry with a list where the address is due; the whole object is below value_bytes."""
    entry = {"service": "desk", "addr": [[]] * 340000, "zone": "zone-1", "version": "v1",
             "slots": 64, "state": "ready", "cold_left_ms": 0, "seq": 1}
    assert len(encode(entry)) < VALUE_BYTES - 1000
    return entry


async def serve(vms, name, record):
    """Sends requests to the VMs in turn and returns the share that is served."""
    served = 0
    for number in range(REQUESTS):
        answer = await ask(vms[number % len(vms)], request_bytes(
            "GET", "/look/x", "site.example", "%s%05x" % (name, number), 3000), 3)
        text = answer if isinstance(answer, str) else str(answer.status)
        record.write("request %s%05x to %s: %s" % (name, number, vms[number % len(vms)].name, text))
        served += text == "200"
        await asyncio.sleep(0.1)
    return served / REQUESTS


async def case(record, folder):
    store = await Store(HOST).start()
    cloud = await Cloud(HOST, record).start()
    store.put("config", "main", config(7, [
        route("look", "/look/", "safe", "desk", 3000, public=True)], [DESK_SERVICE]))
    desks = [await Runner(HOST, store, record, "i-desk%d" % each, "desk", "zone-1", slots=64)
             .start() for each in range(2)]
    vms = [Vm(folder, record, HOST, store, cloud, "edge-%d" % each, "zone-1")
           for each in range(1, VMS + 1)]
    try:
        for vm in vms:
            vm.start()
        for vm in vms:
            await vm.wait_ready()
        await asyncio.sleep(1)
        before = await serve(vms, "a", record)
        if TROUBLE:
            entry = odd_entry()
            for number in range(ODD_ENTRIES):
                store.put("servers", "i-odd%03d" % number, entry)
            record.write("another writer has written %d entries" % ODD_ENTRIES)
        await asyncio.sleep(15)
        between = await serve(vms, "b", record)
        for vm in vms:
            vm.signal(signal.SIGKILL)
            vm.process.wait()
        await asyncio.sleep(1)
        for vm in vms:
            vm.start()
        await asyncio.sleep(RECOVER_SECONDS)
        after = await serve(vms, "c", record)
        record.write("served: %.2f at first, %.2f before the final fault, %.2f from %d s after it; "
                     "edge-1 runs: %s, edge-2 runs: %s" % (
                         before, between, after, RECOVER_SECONDS, vms[0].is_running(),
                         vms[1].is_running()))
        return 1 if between >= 0.25 and after < 0.25 else 0
    finally:
        await end_all(vms, desks + [cloud, store])


run_case(FOLDER, case)
