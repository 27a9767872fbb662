"""Stand-ins of the platform for the scripts below `review/`: the store, searchers, clients, and VMs
that run the program of the deploy file. They use the standard library only and loopback addresses.
"""

import asyncio
import base64
import json
import os
import random
import signal
import socket
import tempfile
import time
import urllib.parse

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
PROGRAM = "target/release/mimosabridge-vm"

# The bounds of the small deployments.
BOUNDS = {
    "seedLagS": 3, "reuseAfterS": 2, "stableWindowMs": 4000, "ackMaxMs": 5000, "syncS": 4,
    "drainMaxMs": 3000, "graceS": 6, "lossSlackMs": 200, "configPropagationMs": 3000,
    "downgradeMs": 250, "stretchMs": 12000, "budgetRatio": 0.2, "budgetWindowS": 10,
    "budgetBurst": 58, "coldOver": 1.5, "coldSlack": 5, "evacMs": 5000, "recoverS": 12,
}


class CannotRun(Exception):
    """The case can't run on this machine."""


class Record:
    """Collects what was sent, answered and run, with the seconds since the start."""

    def __init__(self):
        self.began = time.monotonic()
        self.lines = []

    def now(self):
        return time.monotonic() - self.began

    def add(self, text):
        self.lines.append(f"{self.now():8.3f} {text}")

    def write(self, folder):
        with open(os.path.join(folder, "record.txt"), "w", encoding="utf-8") as file:
            file.write("\n".join(self.lines) + "\n")


class Stream:
    """A connection whose bytes are read ahead, so that its end shows while a request runs."""

    def __init__(self, reader, writer):
        self.reader, self.writer = reader, writer
        self.buffer = b""
        self.ended = asyncio.Event()
        self.arrived = asyncio.Event()
        self.pump = asyncio.ensure_future(self._pump())

    async def _pump(self):
        try:
            while data := await self.reader.read(65536):
                self.buffer += data
                self.arrived.set()
        except OSError:
            pass
        self.ended.set()
        self.arrived.set()

    async def _more(self):
        if self.ended.is_set():
            raise EOFError
        self.arrived.clear()
        await self.arrived.wait()

    async def until(self, mark):
        while mark not in self.buffer:
            await self._more()
        head, self.buffer = self.buffer.split(mark, 1)
        return head

    async def exactly(self, count):
        while len(self.buffer) < count:
            await self._more()
        data, self.buffer = self.buffer[:count], self.buffer[count:]
        return data

    async def message(self):
        """Reads a message. Returns its first line, its headers in lower case, and its body."""
        head = (await self.until(b"\r\n\r\n")).decode("latin-1").split("\r\n")
        headers = {}
        for line in head[1:]:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
        body = b""
        if headers.get("transfer-encoding", "").lower() == "chunked":
            while size := int((await self.until(b"\r\n")).split(b";")[0], 16):
                body += await self.exactly(size)
                await self.until(b"\r\n")
            await self.until(b"\r\n")
        elif "content-length" in headers:
            body = await self.exactly(int(headers["content-length"]))
        return head[0], headers, body

    def close(self):
        self.pump.cancel()
        self.writer.close()


def answer(status, headers=(), body=b""):
    """Returns the bytes of an answer."""
    lines = [f"HTTP/1.1 {status}", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in headers]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


class Store:
    """The platform's metadata store."""

    def __init__(self):
        self.items, self.history, self.revision = {}, [], 100
        self.changed = asyncio.Condition()

    async def start(self):
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0, backlog=1024)
        self.address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]

    async def put(self, key, value):
        self.revision += 1
        text = base64.b64encode(json.dumps(value).encode()).decode()
        created = self.items.get(key, {}).get("created", self.revision)
        item = {
            "key": key, "value": text, "revision": self.revision, "created": created, "leaseId": 0,
        }
        self.items[key] = item
        self.history.append(item)
        async with self.changed:
            self.changed.notify_all()

    async def remove(self, key):
        self.revision += 1
        del self.items[key]
        self.history.append({"key": key, "revision": self.revision, "deleted": True})
        async with self.changed:
            self.changed.notify_all()

    async def _serve(self, reader, writer):
        stream = Stream(reader, writer)
        try:
            while True:
                line, _, _ = await stream.message()
                url = urllib.parse.urlsplit(line.split(" ")[1])
                query = dict(urllib.parse.parse_qsl(url.query, keep_blank_values=True))
                await asyncio.sleep(0.004)
                if url.path == "/-/kv-range":
                    body = self._range(query)
                elif url.path == "/-/kv-watch":
                    body = await self._watch(query)
                else:
                    body = None
                status = "404 Not Found" if body is None else "200 OK"
                headers = [("Content-Type", "application/json")]
                writer.write(answer(status, headers, json.dumps(body).encode()))
                await writer.drain()
        except (EOFError, OSError, asyncio.CancelledError):
            pass
        finally:
            stream.close()

    def _range(self, query):
        prefix, after = query.get("prefix", ""), query.get("after", "")
        keys = sorted(it for it in self.items if it.startswith(prefix) and it > after)
        return {
            "items": [self.items[it] for it in keys[:50]],
            "hasMore": len(keys) > 50,
            "storeRevision": self.revision,
        }

    async def _watch(self, query):
        prefix, after = query.get("prefix", ""), int(query.get("after", "0"))
        end = time.monotonic() + min(int(query.get("waitMs", "0")), 30_000) / 1000
        while True:
            events = [
                it for it in self.history if it["revision"] > after and it["key"].startswith(prefix)
            ]
            left = end - time.monotonic()
            if events or left <= 0:
                return {"events": events, "storeRevision": self.revision}
            try:
                async with self.changed:
                    await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass


class Searcher:
    """A searcher of one service.

    It runs `slots` requests at once, queues `queue` more, and rejects the others. `work` returns the
    seconds that the request with an id takes. `double` returns whether a second copy of an answer is sent: it
    arrives late, where the next answer on the connection is expected.
    """

    def __init__(self, record, name, service, zone, work, slots=3, queue=12, double=None):
        self.record, self.name, self.service, self.zone = record, name, service, zone
        self.work, self.slots, self.queue = work, slots, queue
        self.double = double or (lambda status: False)
        self.held = 0
        self.free = asyncio.Semaphore(slots)
        self.rejected = 0

    async def start(self, store):
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0, backlog=1024)
        self.port = self.server.sockets[0].getsockname()[1]
        self.born = int(time.time() * 1000)
        await store.put(f"servers/{self.name}", self.entry("ready"))

    def entry(self, state):
        return {
            "service": self.service, "address": f"127.0.0.1:{self.port}", "zone": self.zone,
            "version": "v1", "maxConcurrency": self.slots, "state": state, "coldMs": 0,
            "sequence": 1, "born": self.born,
        }

    async def _serve(self, reader, writer):
        stream = Stream(reader, writer)
        late = None
        try:
            while True:
                line, headers, _ = await stream.message()
                if late is not None:
                    self.record.add(f"copy   server={self.name} {late[0]}")
                    writer.write(late[1])
                    late = None
                status, reply = await self._reply(line, headers, stream)
                if reply is None:
                    return
                writer.write(reply)
                await writer.drain()
                if self.double(status):
                    late = (f"id={headers.get('x-attempt-id')} status={status}", reply)
        except (EOFError, OSError, ValueError, asyncio.CancelledError):
            pass
        finally:
            stream.close()

    async def _reply(self, line, headers, stream):
        request = headers.get("x-attempt-id")
        echo = [("X-Attempt-Id", request)] if request else []
        own = [("X-Instance-Id", self.name)]
        if headers.get("x-expect-instance", self.name) != self.name:
            return 421, answer("421 Misdirected Request", echo + own)
        if self.held >= self.slots + self.queue:
            self.rejected += 1
            self.record.add(f"reject server={self.name} id={request}")
            return 503, answer("503 Service Unavailable", [("X-Not-Run", "1")] + echo)
        self.held += 1
        try:
            async with self.free:
                if stream.ended.is_set():
                    return 0, None
                if line.split(" ")[1] == "/health":
                    await asyncio.sleep(0.001)
                    return 200, answer("200 OK", own)
                if request is None:
                    return 400, answer("400 Bad Request", [("X-Not-Run", "1")])
                self.record.add(f"run    server={self.name} id={request}")
                work = asyncio.ensure_future(asyncio.sleep(self.work(request)))
                end = asyncio.ensure_future(stream.ended.wait())
                await asyncio.wait({work, end}, return_when=asyncio.FIRST_COMPLETED)
                is_done = work.done()
                work.cancel()
                end.cancel()
                if not is_done:
                    self.record.add(f"left   server={self.name} id={request}")
                    return 0, None
                self.record.add(f"done   server={self.name} id={request}")
                stamp = [("X-Answer-Stamp", f"{self.name}.{request}")]
                return 200, answer("200 OK", echo + stamp, f"{self.name} {request}\n".encode())
        finally:
            self.held -= 1


class Vm:
    """A VM that runs the program with the command of the deploy file."""

    def __init__(self, number, ip, base, zone):
        self.name, self.ip, self.base, self.zone = f"edge-{zone}-{number}", ip, base, zone
        self.process = None

    def settings(self, seeds, store, zones):
        ip, base = self.ip, self.base
        return {
            "node": self.name, "role": "node", "machineClass": "edge",
            "serves": ["edge", "control"], "ip": ip, "zone": self.zone, "region": "lima",
            "zones": {it: "lima" for it in zones},
            "listen": {
                "front": f"{ip}:{base}", "ready": f"{ip}:{base + 1}", "control": f"{ip}:{base + 2}",
            },
            "portRange": [base + 3, base + 18],
            "seedAddrs": [f"{it}:{base + 2}" for it in seeds],
            "bootstrap": True, "countsAsLoss": False,
            "limits": {
                "cpuShare": 0.25, "cpuCores": 1, "memoryMb": 260, "maxFds": 4100,
                "linkMbps": 1000.0, "diskMb": 0,
            },
            "dataDir": None, "discoverySource": "platform", "entryKind": "vip",
            "heartbeatMs": 1200,
            "contracts": [
                "base", "drain", "config", "cost", "retry", "recover", "scatter", "places",
                "platform",
            ],
            "tolerate": {"machines": 2, "zones": 1, "regions": 0}, "bounds": BOUNDS,
            "platform": {
                "address": store.address, "form": "read", "writesPerS": 400, "readsPerS": 2000,
                "historyS": 20, "valueBytes": 1048576, "ttlMinMs": 1000,
            },
        }

    async def start(self, folder, seeds, store, zones):
        path = os.path.join(folder, f"{self.name}.json")
        with open(path, "w", encoding="utf-8") as file:
            json.dump(self.settings(seeds, store, zones), file)
        env = {it: os.environ[it] for it in ("PATH", "HOME", "LANG") if it in os.environ}
        env["MIMOSABRIDGE_BOOT"] = path
        with open(os.path.join(folder, f"{self.name}.log"), "wb") as log:
            self.process = await asyncio.create_subprocess_exec(
                PROGRAM, "--metrics-port", str(self.base + 19), cwd=ROOT, env=env, stdout=log,
                stderr=log,
            )

    async def is_ready(self):
        try:
            status, _, _ = await asyncio.wait_for(get(self.ip, self.base + 1, "/-/ready"), 1)
            return status == 200
        except (OSError, EOFError, asyncio.TimeoutError):
            return False


async def get(ip, port, path):
    reader, writer = await asyncio.open_connection(ip, port)
    stream = Stream(reader, writer)
    try:
        writer.write(f"GET {path} HTTP/1.1\r\nHost: {ip}\r\nConnection: close\r\n\r\n".encode())
        line, headers, body = await stream.message()
        return int(line.split(" ")[1]), headers, body
    finally:
        stream.close()


class Fleet:
    """A store and VMs, which end with the `async with` block."""

    def __init__(self, zones):
        self.zones = zones

    async def __aenter__(self):
        if not os.path.exists(os.path.join(ROOT, PROGRAM)):
            raise CannotRun(f"{PROGRAM} is missing; run the build of the deploy file")
        self.store = Store()
        await self.store.start()
        self.folder = tempfile.TemporaryDirectory()
        self.vms = []
        return self

    async def start_vms(self):
        ips, base = free_addresses(len(self.zones))
        for number, (ip, zone) in enumerate(zip(ips, self.zones)):
            vm = Vm(number + 1, ip, base, zone)
            self.vms.append(vm)
            await vm.start(self.folder.name, ips[:3], self.store, self.zones)
        end = time.monotonic() + 20
        for vm in self.vms:
            while not await vm.is_ready():
                if time.monotonic() > end or vm.process.returncode is not None:
                    raise CannotRun(f"{vm.name} does not become ready")
                await asyncio.sleep(0.05)

    async def __aexit__(self, *_):
        for vm in self.vms:
            if vm.process is not None and vm.process.returncode is None:
                vm.process.send_signal(signal.SIGKILL)
                await vm.process.wait()
        self.folder.cleanup()


def free_addresses(count):
    """Returns loopback addresses and a first port from which 20 ports are free on all of them."""
    for _ in range(200):
        third, base = random.randrange(2, 250), random.randrange(12_000, 30_000)
        ips = [f"127.{third}.{random.randrange(1, 250)}.{it + 1}" for it in range(count)]
        if all(is_free(ip, base + it) for ip in ips for it in range(20)):
            return ips, base
    raise CannotRun("no free ports")


def is_free(ip, port):
    with socket.socket() as tcp, socket.socket(type=socket.SOCK_DGRAM) as udp:
        try:
            tcp.bind((ip, port))
            udp.bind((ip, port))
        except OSError:
            return False
    return True


class Client:
    """A client that keeps its connection to a VM."""

    def __init__(self, record, vm, host):
        self.record, self.vm, self.host = record, vm, host
        self.stream = None

    async def connect(self):
        connect = asyncio.open_connection(self.vm.ip, self.vm.base)
        reader, writer = await asyncio.wait_for(connect, 1)
        self.stream = Stream(reader, writer)

    def is_open(self):
        return self.stream is not None and not self.stream.ended.is_set()

    async def send(self, request, method, path, deadline_ms, body=b""):
        """Sends a request. Returns the status, the headers and the body, or `None` if the connection
        ended without a complete answer; raises `asyncio.TimeoutError` at the deadline."""
        if not self.is_open():
            await self.connect()
        head = [
            f"{method} {path} HTTP/1.1", f"Host: {self.host}", f"X-Attempt-Id: {request}",
            f"X-Deadline-Ms: {deadline_ms}",
        ]
        if method == "POST":
            head.append(f"Content-Length: {len(body)}")
        self.record.add(f"send   vm={self.vm.name} id={request}")
        stream = self.stream
        stream.writer.write(("\r\n".join(head) + "\r\n\r\n").encode() + body)
        try:
            line, headers, body = await asyncio.wait_for(stream.message(), deadline_ms / 1000)
        except asyncio.TimeoutError:
            # Is an OSError, too, from Python 3.11 on.
            self.record.add(f"late   id={request}")
            self.close()
            raise
        except (EOFError, OSError):
            self.record.add(f"cut    id={request}")
            self.close()
            return None
        status = int(line.split(" ")[1])
        self.record.add(f"answer id={request} status={status}")
        if headers.get("connection", "").lower() == "close":
            self.close()
        return status, headers, body

    def close(self):
        if self.stream is not None:
            self.stream.close()
            self.stream = None


def route(name, host, prefix, kind, service, timeout_ms, target_ms, attempts=2):
    """Returns a route to one service."""
    return {
        "name": name, "host": host, "prefix": prefix, "type": kind, "timeoutMs": timeout_ms,
        "targetLatencyMs": target_ms, "priority": 2, "service": service, "attempts": attempts,
    }


def config(version, routes, services):
    """Returns a configuration with the limits of the small deployments."""
    items = [
        {
            "name": name, "healthPath": "/health", "maxConns": conns, "protocol": "h1",
            "tlsMode": False, "warmupS": 3.0, "coldPerS": 0.0,
        }
        for name, conns in services
    ]
    limits = {"headerBytes": 16384, "bodyBytes": 262144, "headerMs": 3000, "idleMs": 15000}
    return {"version": version, "routes": routes, "services": items, "limits": limits}


def main(case, folder):
    """Runs a case, writes its record and returns the exit code."""
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record()
    try:
        findings = asyncio.run(asyncio.wait_for(case(record, has_trouble), 110))
    except (CannotRun, OSError, asyncio.TimeoutError) as error:
        record.add(f"cannot run: {error!r}")
        record.write(folder)
        print(f"the case can't run: {error!r}")
        return 2
    for finding in findings:
        record.add(f"broken {finding}")
        print(finding)
    record.write(folder)
    print("broken" if findings else "held")
    return 1 if findings else 0
