"""Stand-ins for the review's scripts: the platform's store and cloud interface, runners, consumers.

Everything listens on loopback addresses and free ports. The stand-ins follow PROTOCOL.md; what a
script makes them do wrong is written in that script. One asyncio loop, no threads.
"""

import asyncio
import json
import os
import random
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time

REPOSITORY = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

HELD, BROKEN, NOT_RUN = 0, 1, 2


def now():
    return time.monotonic()


class Record:
    """Writes record.txt: what was sent, answered and run, with the time since the start."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w")
        self.start = now()

    def write(self, *words):
        self.file.write("%9.3f %s\n" % (now() - self.start, " ".join(str(w) for w in words)))
        self.file.flush()


# --- HTTP -------------------------------------------------------------------------------------


class Message:
    def __init__(self, first, headers, body=b""):
        self.first = first
        self.headers = headers
        self.body = body

    def get(self, name, default=None):
        for key, value in self.headers:
            if key.lower() == name.lower():
                return value
        return default


async def read_head(reader):
    """Returns the first line and the headers, or None at the end of the channel."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
        return None
    lines = raw.decode("latin-1").split("\r\n")
    headers = []
    for line in lines[1:]:
        if ":" in line:
            key, value = line.split(":", 1)
            headers.append((key.strip(), value.strip()))
    return Message(lines[0], headers)


async def read_chunk(reader):
    size = int((await reader.readuntil(b"\r\n")).split(b";")[0].strip() or b"0", 16)
    data = await reader.readexactly(size) if size else b""
    await reader.readexactly(2)
    return data


async def read_body(reader, message):
    if "chunked" in (message.get("Transfer-Encoding") or "").lower():
        parts = []
        while True:
            data = await read_chunk(reader)
            if not data:
                return b"".join(parts)
            parts.append(data)
    length = int(message.get("Content-Length") or 0)
    return await reader.readexactly(length) if length else b""


def encode(first, headers, body=b""):
    head = first + "\r\n" + "".join("%s: %s\r\n" % pair for pair in headers) + "\r\n"
    return head.encode("latin-1") + body


REASONS = {200: "OK", 202: "Accepted", 404: "Not Found", 409: "Conflict", 410: "Gone",
           421: "Misdirected Request", 500: "Internal Server Error", 503: "Service Unavailable"}


def answer(status, headers=(), body=b""):
    first = "HTTP/1.1 %d %s" % (status, REASONS.get(status, "Status"))
    return encode(first, list(headers) + [("Content-Length", len(body))], body)


def json_answer(status, value):
    return answer(status, [("Content-Type", "application/json")], json.dumps(value).encode())


def reset(writer):
    """Closes a channel with a reset."""
    sock = writer.get_extra_info("socket")
    if sock is not None:
        try:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        except OSError:
            pass
    writer.transport.abort()


async def start_server(handler, host, port=0, limit=2**16):
    async def run(reader, writer):
        try:
            await handler(reader, writer)
        except (ConnectionError, asyncio.IncompleteReadError, OSError):
            pass
        finally:
            writer.close()

    server = await asyncio.start_server(run, host, port, limit=limit, backlog=512)
    return server, server.sockets[0].getsockname()[1]


# --- the platform -----------------------------------------------------------------------------


class Store:
    """The platform's metadata store; linearizable, loses nothing."""

    def __init__(self):
        self.rev = 100
        self.kinds = {}
        self.events = []
        self.changed = asyncio.Event()
        self.address = None
        self.waiting = {}
        self.on_call = None

    async def start(self, host):
        self.server, port = await start_server(self.serve, host)
        self.address = "%s:%d" % (host, port)

    def _event(self, kind, obj, tombstone):
        self.events.append((self.rev, kind, json.loads(json.dumps(obj)), tombstone))
        del self.events[:-20000]
        self.changed.set()
        self.changed = asyncio.Event()

    def put(self, kind, name, spec=None, status=None, only_status=False):
        """Creates or replaces an object."""
        objects = self.kinds.setdefault(kind, {})
        obj = objects.get(name)
        if obj is None:
            obj = {"meta": {"name": name, "rev": 0, "created": self.rev + 1, "finalizers": [],
                            "deleting": False}, "spec": None, "status": None}
            objects[name] = obj
        before = json.dumps([obj["spec"], obj["status"]])
        if only_status:
            obj["status"] = status
        else:
            obj["spec"] = spec
        if obj["meta"]["rev"] and json.dumps([obj["spec"], obj["status"]]) == before:
            return obj
        self.rev += 1
        obj["meta"]["rev"] = self.rev
        self._event(kind, obj, False)
        return obj

    def remove(self, kind, name):
        obj = self.kinds.get(kind, {}).pop(name, None)
        if obj is not None:
            self.rev += 1
            self._event(kind, obj, True)
        return obj

    async def serve(self, reader, writer):
        while True:
            message = await read_head(reader)
            if message is None:
                return
            message.body = await read_body(reader, message)
            method, target, _ = message.first.split(" ")
            if self.on_call is not None and await self.on_call(method, target, writer):
                return
            writer.write(await self.call(method, target, message.body, writer))
            await writer.drain()

    async def call(self, method, target, body, writer):
        path, _, query = target.partition("?")
        options = dict(part.partition("=")[::2] for part in query.split("&") if part)
        parts = path.split("/")[3:]
        kind, name = parts[0], parts[1] if len(parts) > 1 else None
        objects = self.kinds.setdefault(kind, {})
        sent = json.loads(body) if body else {}
        if method == "GET" and name is None:
            if "watch" in options:
                return await self.watch(kind, int(options["watch"]),
                                        int(options.get("wait_ms", 0)) / 1000, writer)
            names = sorted(n for n in objects if n > options.get("after", ""))
            return json_answer(200, {"items": [objects[n] for n in names[:500]],
                                     "has_more": len(names) > 500, "current_rev": self.rev})
        if method == "GET":
            return json_answer(200, objects[name]) if name in objects else json_answer(404, {})
        if method == "POST":
            name = sent["meta"]["name"]
            if name in objects:
                return json_answer(409, objects[name])
            return json_answer(200, self.put(kind, name, sent.get("spec")))
        if name not in objects:
            return json_answer(404, {})
        expected = sent.get("meta", {}).get("rev") or options.get("rev")
        if expected is not None and int(expected) != objects[name]["meta"]["rev"]:
            return json_answer(409, objects[name])
        if method == "DELETE":
            return json_answer(200, self.remove(kind, name))
        if len(parts) > 2:
            return json_answer(200, self.put(kind, name, status=sent.get("status"),
                                             only_status=True))
        return json_answer(200, self.put(kind, name, sent.get("spec")))

    async def watch(self, kind, since, wait, writer):
        end = now() + wait
        self.waiting[writer] = kind
        try:
            while True:
                found = [{"object": obj, "tombstone": tombstone}
                         for rev, of, obj, tombstone in self.events if rev > since and of == kind]
                left = end - now()
                if found or left <= 0:
                    return json_answer(200, {"events": found, "current_rev": self.rev})
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass
        finally:
            self.waiting.pop(writer, None)


class Cloud:
    """The platform's interface for duties; keeps what it was sent."""

    def __init__(self, record):
        self.calls = []
        self.record = record
        self.address = None

    async def start(self, host):
        self.server, port = await start_server(self.serve, host)
        self.address = "%s:%d" % (host, port)

    async def serve(self, reader, writer):
        while True:
            message = await read_head(reader)
            if message is None:
                return
            message.body = await read_body(reader, message)
            self.calls.append((now(), message.first, message.get("Vanilladoor-Holder"),
                               int(message.get("Vanilladoor-Fence") or 0), message.body))
            self.record.write("cloud", message.first, message.get("Vanilladoor-Holder"),
                              message.get("Vanilladoor-Fence"), message.body.decode())
            writer.write(json_answer(200, {}))
            await writer.drain()


# --- runners ----------------------------------------------------------------------------------


class Runner:
    """A runner of a service. `behave` may replace how it answers a request that it runs."""

    def __init__(self, store, record, service, zone, slots=6, beat_s=1.2, linger_s=2.5):
        self.store = store
        self.record = record
        self.service = service
        self.zone = zone
        self.slots = slots
        self.beat_s = beat_s
        self.id = "i-%08x" % random.getrandbits(32)
        self.behave = None
        self.state = "ready"
        self.seq = 0
        self.active = 0
        self.runs = []
        self.writers = set()
        self.born = int(time.time() * 1000)

    async def start(self, host, port=0):
        self.server, self.port = await start_server(self.serve, host, port)
        self.address = "%s:%d" % (host, self.port)
        self.beat()
        self.beating = asyncio.get_running_loop().create_task(self.keep_beating())
        return self

    def beat(self):
        self.seq += 1
        self.store.put("servers", self.id, {
            "service": self.service, "addr": self.address, "zone": self.zone, "version": "v1",
            "slots": self.slots, "state": self.state, "cold_left_ms": 0, "seq": self.seq,
            "born": self.born})

    async def keep_beating(self):
        while True:
            await asyncio.sleep(self.beat_s)
            self.beat()

    def stop_beating(self):
        self.beating.cancel()

    def crash(self):
        """Ends at once: resets its channels and listens no more."""
        self.stop_beating()
        self.server.close()
        for writer in list(self.writers):
            reset(writer)

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                message = await read_head(reader)
                if message is None:
                    return
                if not await self.request(message, reader, writer):
                    return
        finally:
            self.writers.discard(writer)

    def head(self, message, more=()):
        return [("Vanilladoor-Attempt-Id", message.get("Vanilladoor-Attempt-Id") or ""),
                ("Vanilladoor-Load", "%d,0,%d" % (self.active, self.slots))] + list(more)

    def stamp(self, message):
        return ("Vanilladoor-Stamp", "%s.%s" % (self.id, message.get("Vanilladoor-Attempt-Id")))

    async def request(self, message, reader, writer):
        """Handles one request; returns whether the channel stays open."""
        message.body = await read_body(reader, message)
        if message.first.startswith("GET /api/report"):
            writer.write(json_answer(200, {"phase": "", "models": [], "busy": False,
                                           "seq": 0, "queued": 0, "active": self.active}))
            await writer.drain()
            return True
        expected = message.get("Vanilladoor-Expect-Instance")
        if expected and expected != self.id:
            writer.write(answer(421, [("Vanilladoor-Instance", self.id)]))
            await writer.drain()
            return True
        if self.active >= self.slots:
            writer.write(answer(503, self.head(message, [("Vanilladoor-Not-Run", "1")])))
            await writer.drain()
            return True
        self.active += 1
        identifier = message.get("Vanilladoor-Attempt-Id")
        self.runs.append((now(), identifier))
        self.record.write("run", self.id, identifier, message.first)
        try:
            return await (self.behave or plain)(self, message, reader, writer)
        finally:
            self.active -= 1


async def plain(runner, message, reader, writer):
    """Works 20 ms and answers with 800 bytes."""
    await asyncio.sleep(0.02)
    body = (message.get("Vanilladoor-Attempt-Id") or "").encode().ljust(800, b".")
    writer.write(answer(200, runner.head(message, [runner.stamp(message)]), body))
    await writer.drain()
    return True


# --- the system's own process -----------------------------------------------------------------


def deploy_command():
    with open(os.path.join(REPOSITORY, "deploy", "system.toml")) as file:
        for line in file:
            if line.startswith("run ="):
                return line.split("=", 1)[1].strip().strip('"').split(" ")
    raise RuntimeError("deploy/system.toml has no run command")


def free_port(host):
    with socket.socket() as sock:
        sock.bind((host, 0))
        return sock.getsockname()[1]


class Machine:
    """One process of the system, started with the deploy file's command."""

    def __init__(self, name, zone, host, store, cloud, folder, bounds=None):
        self.name = name
        self.host = host
        self.front = (host, free_port(host))
        self.ready = (host, free_port(host))
        figures = dict(drain_ms=2000, grace_s=8, retry_ratio=0.2, retry_window_s=10,
                       retry_extra=113, fencing="false", lease_ms=3000, report_window_s=5,
                       usage_late_s=10, config_ms=2000, revoke_ms=5000, strict_revoke="true",
                       contact_ms=3000)
        figures.update(bounds or {})
        self.settings = os.path.join(folder, name + ".toml")
        with open(self.settings, "w") as file:
            file.write('node = "%s"\nrole = "entry"\nmachine_class = "edge"\nserves = ["edge"]\n'
                       'ip = "%s"\nzone = "%s"\nregion = "region"\n' % (name, host, zone))
            file.write('[listen]\nfront = "%s:%d"\nready = "%s:%d"\n' % (self.front + self.ready))
            file.write("[bounds]\n" + "".join("%s = %s\n" % each for each in figures.items()))
            file.write('[platform]\naddr = "%s"\nform = "objects"\n' % store.address)
            if cloud is not None:
                file.write('[cloud]\naddr = "%s"\nduties = ["usage"]\n' % cloud.address)
        self.log = open(os.path.join(folder, name + ".log"), "ab")
        self.process = None

    def start(self):
        command = deploy_command() + ["--settings", self.settings]
        self.process = subprocess.Popen(command, cwd=REPOSITORY, stdout=self.log,
                                        stderr=subprocess.STDOUT)

    def is_running(self):
        return self.process is not None and self.process.poll() is None

    def signal(self, number):
        if self.is_running():
            os.kill(self.process.pid, number)

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection(*self.ready)
            writer.write(encode("GET /api/readyz HTTP/1.1",
                                [("Host", "ready"), ("Connection", "close")]))
            message = await asyncio.wait_for(read_head(reader), 1)
            writer.close()
            return message is not None and " 200 " in message.first
        except (OSError, asyncio.TimeoutError):
            return False

    async def await_ready(self, seconds=30):
        end = now() + seconds
        while now() < end:
            if await self.is_ready():
                return True
            await asyncio.sleep(0.2)
        return False

    def end(self):
        if self.is_running():
            self.signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()
        self.log.close()


class Fleet:
    """Store, cloud interface, runners and the system's processes of one script."""

    def __init__(self, folder):
        self.folder = folder
        self.record = Record(folder)
        self.scratch = tempfile.mkdtemp(prefix="review-")
        self.net = "127.%d.%d." % (random.randint(10, 250), random.randint(1, 250))
        self.machines = []
        self.runners = []
        self.hosts = 10

    async def start(self, config):
        self.store = Store()
        await self.store.start(self.net + "1")
        self.cloud = Cloud(self.record)
        await self.cloud.start(self.net + "2")
        self.config = config
        self.store.put("config", "main", config)

    async def runner(self, service, zone="zone-a", **more):
        self.hosts += 1
        runner = await Runner(self.store, self.record, service, zone, **more).start(
            self.net + str(self.hosts))
        self.runners.append(runner)
        self.record.write("runner", runner.id, service, runner.address)
        return runner

    async def machine(self, name, zone="zone-a", bounds=None):
        self.hosts += 1
        machine = Machine(name, zone, self.net + str(self.hosts), self.store, self.cloud,
                          self.scratch, bounds)
        self.machines.append(machine)
        machine.start()
        if not await machine.await_ready():
            raise CannotRun("%s is not ready" % name)
        self.record.write("machine", name, "is ready")
        return machine

    def end(self):
        for machine in self.machines:
            machine.end()
        for runner in self.runners:
            runner.stop_beating()
        if os.environ.get("KEEP"):
            print("logs:", self.scratch)
        else:
            shutil.rmtree(self.scratch, ignore_errors=True)


class CannotRun(Exception):
    pass


def run_case(folder, main, limit_s=110):
    """Runs a case and exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run."""
    async def bounded():
        fleet = Fleet(folder)

        def stop():
            fleet.end()
            os._exit(NOT_RUN)

        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, stop)
        try:
            return await asyncio.wait_for(main(fleet), limit_s)
        except (CannotRun, asyncio.TimeoutError, OSError) as failure:
            fleet.record.write("could not run:", repr(failure))
            print("could not run:", repr(failure))
            return NOT_RUN
        finally:
            fleet.end()

    try:
        result = asyncio.run(bounded())
    except Exception as failure:  # pylint: disable=broad-except
        print("could not run:", repr(failure))
        result = NOT_RUN
    print({HELD: "the rule held", BROKEN: "the rule was broken", NOT_RUN: "not run"}[result])
    sys.stdout.flush()
    os._exit(result)


# --- consumers --------------------------------------------------------------------------------


def new_identifier():
    return "%016x" % random.getrandbits(64)


def request_head(method, path, identifier, deadline_ms, more=(), body=b""):
    headers = [("Host", "shop.example"), ("Vanilladoor-Attempt-Id", identifier),
               ("Vanilladoor-Deadline-Ms", deadline_ms)] + list(more)
    if body or method == "POST":
        headers.append(("Content-Length", len(body)))
    return encode("%s %s HTTP/1.1" % (method, path), headers, body)


class Channel:
    """A consumer's kept channel; one request at a time."""

    def __init__(self, machine):
        self.machine = machine
        self.reader = self.writer = None

    async def open(self):
        self.reader, self.writer = await asyncio.wait_for(
            asyncio.open_connection(*self.machine.front, limit=2**20), 1)

    def is_open(self):
        return (self.writer is not None and not self.writer.is_closing()
                and not self.reader.at_eof())

    def close(self):
        if self.writer is not None:
            self.writer.close()
            self.writer = None

    async def ask(self, data):
        """Sends a request; returns (status, head, body), or (None, None, None) at a close."""
        try:
            self.writer.write(data)
            await self.writer.drain()
            head = await read_head(self.reader)
            if head is None:
                return None, None, None
            head.body = await read_body(self.reader, head)
            return int(head.first.split(" ")[1]), head, head.body
        except (ConnectionError, asyncio.IncompleteReadError, OSError):
            return None, None, None


def config_of(routes, services, version=1, limits=None, tenants=None):
    value = {"version": version, "routes": routes, "services": services,
             "limits": dict({"max_header_bytes": 16384, "max_body_bytes": 4194304,
                             "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
                            **(limits or {}))}
    if tenants:
        value["tenants"] = tenants
    return value


def route(name, prefix, service, kind, timeout_ms=800, slo_ms=100, attempts=1, **more):
    return dict({"name": name, "host": "shop.example", "prefix": prefix, "type": kind,
                 "timeout_ms": timeout_ms, "slo_ms": slo_ms, "priority": 0, "service": service,
                 "attempts": attempts, "public": False}, **more)


def service(name, max_conns=208):
    return {"name": name, "health_path": "/healthz", "max_conns": max_conns, "proto": "h1",
            "tls": False}
