"""Stand-ins of the platform, its store, searchers and clients, after the users' pages.

Everything runs on loopback addresses and the real clock, on the standard library alone.
"""

import asyncio
import base64
import json
import os
import random
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

REPOSITORY = Path(__file__).resolve().parents[2]
PROGRAM = [str(REPOSITORY / "target/release/mimosabridge-vm"), "--metrics-port", "9464"]


def disrupted():
    """Returns whether this run has its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """What was sent, answered and run, for `record.txt`."""

    latest = None

    def __init__(self, path):
        Record.latest = self
        # By lines, so that it is whole however the run ends.
        self.path = path
        self.file = open(path, "w", buffering=1)
        self.start = time.monotonic()

    def now(self):
        return time.monotonic() - self.start

    def write(self, kind, text=""):
        self.file.write(f"{self.now():9.3f} {kind} {text}\n")

    def close(self):
        self.file.close()


def network():
    """Returns the first two bytes of loopback addresses that no other run uses."""
    for _ in range(200):
        prefix = f"127.{random.randint(20, 250)}"
        probe = socket.socket()
        try:
            probe.bind((f"{prefix}.255.254", 9464))
            probe.close()
            return prefix
        except OSError:
            probe.close()
    raise RuntimeError("no free loopback addresses")


class Message:
    def __init__(self, first, headers, body):
        self.first, self.headers, self.body = first, headers, body

    def get(self, name, default=None):
        for key, value in self.headers:
            if key == name:
                return value
        return default

    @property
    def status(self):
        return int(self.first.split(" ")[1])


async def read_head(reader):
    """Reads a head. Returns nothing at the end of the connection."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = []
    for line in lines[1:]:
        if line:
            key, _, value = line.partition(":")
            headers.append((key.strip().lower(), value.strip()))
    return Message(lines[0], headers, b"")


async def read_body(reader, message, is_answer):
    if "chunked" in (message.get("transfer-encoding") or ""):
        body = b""
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            chunk = await reader.readexactly(size + 2)
            if size == 0:
                break
            body += chunk[:-2]
        message.body = body
    elif message.get("content-length") is not None:
        message.body = await reader.readexactly(int(message.get("content-length")))
    elif is_answer and message.status not in (204, 304):
        message.body = await reader.read(-1)
    return message


async def read_message(reader, is_answer):
    return await read_body(reader, await read_head(reader), is_answer)


BROKEN = (asyncio.IncompleteReadError, asyncio.LimitOverrunError, ConnectionError, OSError, ValueError)


def head(status, reason, headers):
    lines = [f"HTTP/1.1 {status} {reason}"] + [f"{k}: {v}" for k, v in headers]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


class Store:
    """The platform's store: linearizable, with a revision and a history."""

    def __init__(self, address, record):
        self.address, self.record = address, record
        self.items = {}
        self.history = []
        self.revision = 100
        self.changed = asyncio.Event()
        self.waiting = set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, *self.address)

    def put(self, key, value):
        self.revision += 1
        created = self.items[key]["created"] if key in self.items else self.revision
        text = base64.b64encode(json.dumps(value).encode()).decode()
        item = {"key": key, "value": text, "revision": self.revision, "created": created, "leaseId": 0}
        self.items[key] = item
        self.history.append(item)
        self.wake()

    def delete(self, key):
        if self.items.pop(key, None) is None:
            return
        self.revision += 1
        self.history.append({"key": key, "revision": self.revision, "deleted": True})
        self.wake()

    def wake(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def cut_waiting(self):
        """Closes the connections of the watches that wait. Returns how many there were."""
        cut = list(self.waiting)
        for writer in cut:
            writer.close()
        return len(cut)

    async def serve(self, reader, writer):
        peer = writer.get_extra_info("peername")[0]
        try:
            while True:
                request = await read_message(reader, False)
                target = urlsplit(request.first.split(" ")[1])
                query = {k: v[0] for k, v in parse_qs(target.query, keep_blank_values=True).items()}
                self.record.write("store-call", f"{peer} {request.first.split(' ')[1]}")
                status, body = await self.answer(target.path, query, writer)
                text = json.dumps(body).encode()
                writer.write(head(status, "OK", [("Content-Type", "application/json"), ("Content-Length", len(text))]) + text)
                await writer.drain()
        except BROKEN:
            pass
        finally:
            self.waiting.discard(writer)
            writer.close()

    async def answer(self, path, query, writer):
        prefix = query.get("prefix", "")
        if path == "/-/kv-key":
            item = self.items.get(query.get("key"))
            return (200, dict(item, storeRevision=self.revision)) if item else (404, {})
        if path == "/-/kv-range":
            keys = sorted(k for k in self.items if k.startswith(prefix) and k > query.get("after", ""))
            page = [self.items[k] for k in keys[:500]]
            return 200, {"items": page, "hasMore": len(keys) > 500, "storeRevision": self.revision}
        if path == "/-/kv-watch":
            after = int(query["after"])
            if after > self.revision:
                return 410, {}
            end = time.monotonic() + int(query["waitMs"]) / 1000
            while True:
                events = [e for e in self.history if e["revision"] > after and e["key"].startswith(prefix)]
                left = end - time.monotonic()
                if events or left <= 0:
                    return 200, {"events": events, "storeRevision": self.revision}
                self.waiting.add(writer)
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass
                self.waiting.discard(writer)
        return 404, {}


class Searcher:
    """A searcher with slots, a queue and a cap on connections."""

    def __init__(self, store, record, service, name, address, zone, slots=6, queue=12, work_ms=28, size=1000, cap=46):
        self.store, self.record = store, record
        self.service, self.name, self.address, self.zone = service, name, address, zone
        self.slots, self.queue, self.work_ms, self.size, self.cap = slots, queue, work_ms, size, cap
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.running = self.waiting = 0
        self.free = asyncio.Condition()
        self.connections = set()
        self.is_registered = True
        self.special = None
        self.on_run = None
        self.ran = []

    async def start(self):
        self.server = await asyncio.start_server(self.serve, *self.address, limit=1 << 20)
        self.heart = asyncio.create_task(self.beat())

    async def stop(self):
        self.heart.cancel()
        self.server.close()
        for writer in list(self.connections):
            writer.transport.abort()

    def entry(self):
        return {
            "service": self.service, "address": "%s:%d" % self.address, "zone": self.zone, "version": "v1",
            "maxConcurrency": self.slots, "state": "ready", "coldMs": 0, "sequence": self.sequence, "born": self.born,
        }

    async def beat(self):
        """Writes the entry, which changes only when more than `sequence` changes."""
        known = None
        while True:
            if self.is_registered:
                self.sequence += 1
                entry = self.entry()
                if dict(entry, sequence=0) != known:
                    known = dict(entry, sequence=0)
                    self.store.put(f"servers/{self.name}", entry)
            await asyncio.sleep(1.2)

    def deregister(self):
        self.is_registered = False
        self.store.delete(f"servers/{self.name}")

    async def serve(self, reader, writer):
        if len(self.connections) >= self.cap:
            writer.transport.abort()
            return
        self.connections.add(writer)
        try:
            while True:
                request = await read_message(reader, False)
                if not await self.handle(request, reader, writer):
                    break
        except BROKEN:
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    async def handle(self, request, reader, writer):
        method, target, _ = request.first.split(" ")
        if target == "/health":
            writer.write(head(200, "OK", [("X-Instance-Id", self.name), ("Content-Length", 0)]))
            await writer.drain()
            return True
        id = request.get("x-attempt-id")
        echo = [("X-Attempt-Id", id)]
        expected = request.get("x-expect-instance")
        if expected is not None and expected != self.name:
            writer.write(head(421, "Misdirected Request", echo + [("X-Instance-Id", self.name), ("Content-Length", 0)]))
            await writer.drain()
            return True
        if id is None:
            writer.write(head(400, "Bad Request", [("X-Not-Run", 1), ("Content-Length", 0)]))
            await writer.drain()
            return True
        if self.special:
            kept = await self.special(self, request, reader, writer)
            if kept is not None:
                return kept
        if self.running >= self.slots and self.waiting >= self.queue:
            writer.write(head(503, "Service Unavailable", echo + [("X-Not-Run", 1), ("Content-Length", 0)]))
            await writer.drain()
            return True
        async with self.free:
            self.waiting += 1
            await self.free.wait_for(lambda: self.running < self.slots)
            self.waiting -= 1
            self.running += 1
        try:
            self.ran.append((self.record.now(), id, method, target))
            if self.on_run:
                self.on_run(self, request)
            work = asyncio.create_task(asyncio.sleep(random.uniform(0.7, 1.3) * self.work_ms / 1000))
            watch = asyncio.create_task(reader.read(1))
            done, _ = await asyncio.wait({work, watch}, return_when=asyncio.FIRST_COMPLETED)
            if watch in done:
                work.cancel()
                return False
            watch.cancel()
            try:
                await watch
            except asyncio.CancelledError:
                pass
            stamp = f"{self.name}.{len(self.ran):x}.{random.getrandbits(32):08x}"
            body = os.urandom(self.size)
            writer.write(head(200, "OK", echo + [("X-Answer-Stamp", stamp), ("Content-Length", len(body))]) + body)
            await writer.drain()
            return True
        finally:
            async with self.free:
                self.running -= 1
                self.free.notify()


class Node:
    """A process of the system, which the platform keeps running within its limit of memory."""

    # All that this run has made, to end their processes.
    all = []

    def __init__(self, record, folder, settings):
        Node.all.append(self)
        self.record, self.settings = record, settings
        self.name = settings["node"]
        self.path = Path(folder) / f"{self.name}.yaml"
        self.log_path = Path(folder) / f"{self.name}.log"
        self.process = None
        self.is_wanted = False
        self.ends = []
        self.kills = []
        self.peak = 0

    def start(self):
        self.path.write_text(json.dumps(self.settings))
        environment = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        environment["MIMOSABRIDGE_BOOT"] = str(self.path)
        log = open(self.log_path, "ab")
        self.process = subprocess.Popen(PROGRAM, cwd=REPOSITORY, env=environment, stdout=log, stderr=log)
        log.close()
        self.is_wanted = True
        self.record.write("node-start", f"{self.name} pid {self.process.pid}")

    def rss(self):
        try:
            for line in Path(f"/proc/{self.process.pid}/status").read_text().splitlines():
                if line.startswith("VmRSS:"):
                    return int(line.split()[1]) * 1024
        except OSError:
            pass
        return 0

    async def keep(self):
        """Kills the process if it exceeds its memory, and starts a process again that has ended."""
        limit = self.settings["limits"]["memoryMb"] * 1_000_000
        while True:
            await asyncio.sleep(0.01)
            if not self.is_wanted or self.process is None:
                continue
            rss = self.rss()
            self.peak = max(self.peak, rss)
            if rss > limit:
                self.record.write("node-over-memory", f"{self.name} {rss} bytes of {limit}")
                self.kills.append((self.record.now(), rss))
                self.process.kill()
                self.process.wait()
            if self.process.poll() is not None:
                self.record.write("node-end", f"{self.name} code {self.process.returncode}")
                self.ends.append((self.record.now(), self.process.returncode))
                await asyncio.sleep(1.0)
                if self.is_wanted:
                    self.start()

    def signal(self, number):
        self.record.write("signal", f"{self.name} {signal.Signals(number).name}")
        self.process.send_signal(number)

    def stop(self):
        self.is_wanted = False
        if self.process and self.process.returncode is None:
            try:
                os.kill(self.process.pid, signal.SIGKILL)
                os.waitpid(self.process.pid, 0)
            except (ProcessLookupError, ChildProcessError):
                pass


def settings(prefix, number, zone, zones, store, seeds, **changes):
    """Returns the settings of a machine as the pages print them."""
    ip = f"{prefix}.1.{number}"
    listen = {"front": f"{ip}:8226", "ready": f"{ip}:8227", "control": f"{ip}:8224"}
    bounds = {
        "seedLagS": 3, "reuseAfterS": 2, "stableWindowMs": 4000, "ackMaxMs": 5000, "syncS": 4, "drainMaxMs": 3000,
        "graceS": 6, "lossSlackMs": 200, "configPropagationMs": 3000, "downgradeMs": 250, "stretchMs": 12000,
        "budgetRatio": 0.2, "budgetWindowS": 10, "budgetBurst": 58, "coldOver": 1.5, "coldSlack": 5, "evacMs": 5000,
        "recoverS": 12,
    }
    platform = {
        "address": "%s:%d" % store, "form": "read", "writesPerS": 400, "readsPerS": 2000, "historyS": 20,
        "valueBytes": 1048576, "ttlMinMs": 1000,
    }
    limits = {"cpuShare": 0.25, "cpuCores": 1, "memoryMb": 260, "maxFds": 4100, "linkMbps": 1000.0, "diskMb": 0}
    fields = {
        "node": f"edge-{zone}-{number}", "role": "node", "machineClass": "edge", "serves": ["edge", "control"],
        "ip": ip, "zone": zone, "region": "lima", "zones": {it: "lima" for it in zones}, "listen": listen,
        "portRange": [7740, 7755], "seedAddrs": seeds, "bootstrap": True, "countsAsLoss": False, "limits": limits,
        "dataDir": None, "discoverySource": "platform", "entryKind": "vip", "heartbeatMs": 1200,
        "contracts": ["base", "drain", "config", "cost", "retry", "recover", "scatter", "places", "platform"],
        "tolerate": {"machines": 2, "zones": 1, "regions": 0}, "bounds": bounds, "platform": platform,
    }
    return dict(fields, **changes)


class Attempt:
    """One client attempt and how it ended."""

    def __init__(self, id, sent):
        self.id, self.sent = id, sent
        self.status = None
        self.error = None
        self.message = None
        self.ended = None


def new_id():
    return f"{random.getrandbits(64):016x}"


class Connection:
    """A kept connection of a client to a front address."""

    def __init__(self, address, record):
        self.address, self.record = address, record
        self.reader = self.writer = None

    async def send(self, method, host, path, deadline_ms, body=b"", id=None):
        attempt = Attempt(id or new_id(), self.record.now())
        attempt.is_kept = self.writer is not None
        try:
            if self.writer is None:
                work = asyncio.open_connection(*self.address, limit=1 << 20)
                self.reader, self.writer = await asyncio.wait_for(work, 1)
            headers = [("Host", host), ("X-Attempt-Id", attempt.id), ("X-Deadline-Ms", deadline_ms)]
            if method != "GET":
                headers.append(("Content-Length", len(body)))
            lines = [f"{method} {path} HTTP/1.1"] + [f"{k}: {v}" for k, v in headers]
            self.writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
            await self.writer.drain()
            work = read_message(self.reader, True)
            attempt.message = await asyncio.wait_for(work, deadline_ms / 1000)
            attempt.status = attempt.message.status
            if "close" in (attempt.message.get("connection") or "").lower():
                self.close()
        except asyncio.TimeoutError:
            attempt.error = "deadline"
            self.close()
        except BROKEN as error:
            attempt.error = f"closed ({type(error).__name__})"
            self.close()
        attempt.ended = self.record.now()
        return attempt

    def close(self):
        if self.writer:
            self.writer.close()
        self.reader = self.writer = None


def route(name, host, prefix, kind, timeout_ms, target_ms, **rest):
    fields = {
        "name": name, "host": host, "prefix": prefix, "type": kind, "timeoutMs": timeout_ms,
        "targetLatencyMs": target_ms, "priority": 1, "attempts": 2,
    }
    return dict(fields, **rest)


def service(name, cap):
    return {
        "name": name, "healthPath": "/health", "maxConns": cap, "protocol": "h1", "tlsMode": False, "warmupS": 3.0,
        "coldPerS": 0.0,
    }


def config(version, routes, services):
    limits = {"headerBytes": 16384, "bodyBytes": 262144, "headerMs": 3000, "idleMs": 15000}
    return {"version": version, "routes": routes, "services": services, "limits": limits}


ZONES = ["lima-miraflores", "lima-san-isidro", "lima-surco"]

# Kinds of request of riego-busca: method, host, path prefix, deadline in ms, requests a second at one machine.
KINDS = {
    "ruta-historial": ("GET", "q.example", "/ruta/", 3000, 15),
    "despacho-rapido": ("GET", "q.example", "/despacho/", 1200, 5),
    "contrato-unico": ("GET", "c.example", "/contrato/", 15000, 5),
}


class Deployment:
    """A small deployment with the figures of riego-busca: machines, searchers, the store and clients."""

    def __init__(self, folder, machines=3, shards=10, plain=9, zones=ZONES, bounds=None, limits=None):
        self.record = Record(Path(folder) / "record.txt")
        self.folder = tempfile.mkdtemp()
        self.zones = zones
        self.prefix = network()
        self.store = Store((f"{self.prefix}.2.1", 8229), self.record)
        self.shards = [f"planificador-{it}" for it in range(shards)]
        self.searchers = []
        for service_name in self.shards:
            for zone in zones:
                self.add_searcher(service_name, zone, slots=6, queue=12, work_ms=15, size=1000, cap=46)
        for number in range(plain):
            zone = zones[number % len(zones)]
            self.add_searcher("facturacion", zone, slots=3, queue=12, work_ms=220, size=3000, cap=110)
        seeds = [f"{self.prefix}.1.{it + 1}:8224" for it in range(min(machines, 3))]
        self.nodes = []
        for number in range(machines):
            zone = zones[number % len(zones)]
            fields = settings(self.prefix, number + 1, zone, zones, self.store.address, seeds)
            fields["bounds"].update(bounds or {})
            fields["limits"].update(limits or {})
            self.nodes.append(Node(self.record, self.folder, fields))
        self.tasks = []
        self.idle = {}
        self.attempts = []
        self.version = 7

    def add_searcher(self, service_name, zone, **figures):
        number = len(self.searchers) + 1
        name = f"i-{number:03d}"
        address = (f"{self.prefix}.3.{number}", 8080)
        searcher = Searcher(self.store, self.record, service_name, name, address, zone, **figures)
        self.searchers.append(searcher)
        return searcher

    def of(self, service_name):
        return [it for it in self.searchers if it.service == service_name]

    def config(self):
        routes = [
            route("r-ruta", "q.example", "/ruta/", "idempotent", 3000, 200, shards=self.shards, topK=50, minShare=0.89),
            route("r-despacho", "q.example", "/despacho/", "idempotent", 1200, 80, shards=self.shards, topK=5, minShare=0.75),
            route("r-contrato", "c.example", "/contrato/", "idempotent", 15000, 800, service="facturacion"),
        ]
        services = [service(it, 46) for it in self.shards] + [service("facturacion", 110)]
        return config(self.version, routes, services)

    async def start(self):
        await self.store.start()
        for searcher in self.searchers:
            await searcher.start()
        self.store.put("op/config", self.config())
        for node in self.nodes:
            node.start()
            self.spawn(node.keep())

    def spawn(self, work):
        self.tasks.append(asyncio.create_task(work))

    def begin_traffic(self, kinds=KINDS, factor=1.0):
        for node in self.nodes:
            for kind, (*_, rate) in kinds.items():
                self.spawn(self.clients(node, kind, rate * factor))

    async def clients(self, node, kind, rate):
        while True:
            await asyncio.sleep(random.expovariate(rate))
            asyncio.create_task(self.request(node, kind))

    async def request(self, node, kind, path=None):
        """Sends a request over a kept connection that is idle, or over a new one."""
        method, host, prefix, deadline, _ = KINDS[kind]
        idle = self.idle.setdefault((node.name, kind), [])
        now = time.monotonic()
        # Clients reuse connections that have been idle for up to four fifths of the limit.
        idle[:] = [it for it in idle if now - it[1] < 12]
        connection = idle.pop()[0] if idle else Connection((node.settings["ip"], 8226), self.record)
        attempt = await connection.send(method, host, path or prefix + new_id(), deadline)
        attempt.kind, attempt.node = kind, node.name
        self.attempts.append(attempt)
        outcome = attempt.status or attempt.error
        kept = "kept" if attempt.is_kept else "new"
        self.record.write("answer", f"{node.name} {kind} {attempt.id} sent {attempt.sent:.3f} {kept} -> {outcome}")
        if connection.writer:
            idle.append((connection, time.monotonic()))
        return attempt

    def stop(self):
        for task in self.tasks:
            task.cancel()
        for node in self.nodes:
            node.stop()
        self.record.close()


# The exit codes of `run.py`. A Python program that fails by itself exits with 1, so that a broken rule has another
# one; `run.sh` translates them.
HELD, COULD_NOT_RUN, BROKEN_RULE = 0, 2, 10


SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)


def leave(code):
    """Ends the processes that this run has started, by their ids, and exits."""
    for number in SIGNALS:
        signal.signal(number, signal.SIG_IGN)
    for node in Node.all:
        node.stop()
    if Record.latest:
        # A signal may have come within a write to the file that is open.
        with open(Record.latest.path, "a") as file:
            verdict = {HELD: "the rule held", BROKEN_RULE: "the rule was broken"}.get(code, "the case couldn't run")
            file.write(f"{Record.latest.now():9.3f} end {verdict}\n")
    sys.stdout.flush()
    # Connections that are still open need no orderly end.
    os._exit(code)


def run(main):
    """Runs a case, which returns 0 if the rule held, 1 if it was broken and 2 if it couldn't run, and exits."""

    def interrupted(number, _frame):
        os.write(1, f"the case couldn't run: ended by {signal.Signals(number).name}\n".encode())
        leave(COULD_NOT_RUN)

    for number in SIGNALS:
        signal.signal(number, interrupted)

    async def guarded():
        try:
            code = await main()
        except Exception as error:  # Whatever went wrong, the case has not run.
            print(f"the case couldn't run: {type(error).__name__}: {error}")
            code = COULD_NOT_RUN
        leave({0: HELD, 1: BROKEN_RULE}.get(code, COULD_NOT_RUN))

    asyncio.run(guarded())
