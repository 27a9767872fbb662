"""Small stand-ins of the platform's store, searchers and clients, and the real nodes as processes.

Everything listens on loopback addresses. A script makes one Lab, runs a scenario and calls
Lab.finish() with the findings: the record is written and the exit status follows from it.
"""

import asyncio
import base64
import json
import os
import random
import shutil
import signal
import socket
import sys
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
PROGRAM = os.path.join(ROOT, "target", "release", "mimosabridge-vm")
# The command of the deploy file.
ARGUMENTS = ["--metrics-port", "9464"]
FRONT, READY, CONTROL, PEERS = 8226, 8227, 8224, (7740, 7755)
BOUNDS = {
    "seedLagS": 3, "reuseAfterS": 2, "stableWindowMs": 4000, "ackMaxMs": 5000, "syncS": 4,
    "drainMaxMs": 3000, "graceS": 6, "lossSlackMs": 200, "configPropagationMs": 3000,
    "downgradeMs": 250, "stretchMs": 12000, "budgetRatio": 0.2, "budgetWindowS": 10,
    "budgetBurst": 56, "coldOver": 1.5, "coldSlack": 5, "evacMs": 5000, "recoverS": 12,
}
# How soon the store notices a change for a watch that waits.
WATCH_POLL_S = 0.004
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class CannotRun(Exception):
    """The case can't run on this machine."""


class Lab:
    def __init__(self, folder):
        self.folder = folder
        self.temporary = tempfile.mkdtemp(prefix="mimosabridge-review-")
        self.started = time.monotonic()
        self.lines = []
        self.nodes = []
        self.tasks = []
        self.owners = Owners(self)
        self.block = self._free_block()
        self.last = 0

    def _free_block(self):
        """Returns the first three parts of loopback addresses that nobody uses."""
        start = os.getpid()
        for offset in range(200):
            number = (start + offset * 7) % 15000 + 500
            block = f"127.{number // 250 + 1}.{number % 250 + 1}"
            try:
                for port in (FRONT, READY, CONTROL, PEERS[0], PEERS[0] + 1, 9464):
                    with socket.socket() as probe:
                        probe.bind((f"{block}.1", port))
                return block
            except OSError:
                continue
        raise CannotRun("no free loopback addresses")

    def address(self):
        self.last += 1
        return f"{self.block}.{self.last}"

    def now(self):
        """Seconds since the start of the script."""
        return time.monotonic() - self.started

    def record(self, event, **values):
        self.lines.append({"at": round(self.now(), 4), "event": event, **values})

    def spawn(self, coroutine):
        task = asyncio.ensure_future(coroutine)
        self.tasks.append(task)
        return task

    async def finish(self, broken, summary):
        """Ends all processes, writes the record and returns the exit status."""
        for task in self.tasks:
            task.cancel()
        for node in self.nodes:
            node.end()
        with open(os.path.join(self.folder, "record.txt"), "w", encoding="utf-8") as file:
            for line in summary:
                print(line)
                file.write(f"# {line}\n")
            for line in self.lines:
                file.write(json.dumps(line) + "\n")
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(self.temporary, keep, dirs_exist_ok=True)
        shutil.rmtree(self.temporary, ignore_errors=True)
        return 1 if broken else 0


def main(scenario, folder):
    """Runs a scenario, which returns the exit status."""
    async def guarded():
        lab = Lab(folder)
        try:
            return await asyncio.wait_for(scenario(lab), 110)
        except (CannotRun, asyncio.TimeoutError, OSError) as error:
            await lab.finish(False, [f"the case could not run: {error!r}"])
            return 2
        finally:
            for node in lab.nodes:
                node.end()
            shutil.rmtree(lab.temporary, ignore_errors=True)

    # A signal to the script still ends the processes that it started.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    asyncio.run(ended(guarded()))


async def ended(work):
    """Ends the script with the status of the work, whatever still waits."""
    status = await work
    sys.stdout.flush()
    os._exit(status)


class Node:
    """A machine of the system: the real program with its settings file."""

    def __init__(self, lab, name, zone, store, seeds=(), bounds=None, memory_mb=260):
        if not os.access(PROGRAM, os.X_OK):
            raise CannotRun("target/release/mimosabridge-vm is missing; build it first")
        self.lab, self.name, self.zone, self.ip = lab, name, zone, lab.address()
        self.settings = os.path.join(lab.temporary, f"{name}.json")
        self.log = os.path.join(lab.temporary, f"{name}.log")
        self.process = None
        settings = {
            "node": name, "role": "node", "machineClass": "edge", "serves": ["edge", "control"],
            "ip": self.ip, "zone": zone, "region": "r", "zones": {zone: "r"},
            "listen": {
                "front": f"{self.ip}:{FRONT}", "ready": f"{self.ip}:{READY}",
                "control": f"{self.ip}:{CONTROL}",
            },
            "portRange": list(PEERS), "seedAddrs": [f"{it.ip}:{CONTROL}" for it in seeds],
            "bootstrap": True, "countsAsLoss": False,
            "limits": {"cpuShare": 0.25, "cpuCores": 1, "memoryMb": memory_mb, "maxFds": 4100,
                       "linkMbps": 1000.0, "diskMb": 0},
            "dataDir": None, "discoverySource": "platform", "entryKind": "vip", "heartbeatMs": 1200,
            "contracts": ["base", "drain", "config", "cost", "retry", "recover", "scatter",
                          "places", "platform"],
            "tolerate": {"machines": 2, "zones": 1, "regions": 0},
            "bounds": {**BOUNDS, **(bounds or {})},
            "platform": {"address": store.location, "form": "read", "writesPerS": 400,
                         "readsPerS": 2000, "historyS": 20, "valueBytes": 1048576,
                         "ttlMinMs": 1000},
        }
        with open(self.settings, "w", encoding="utf-8") as file:
            json.dump(settings, file)
        lab.nodes.append(self)

    async def start(self):
        environment = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        environment["MIMOSABRIDGE_BOOT"] = self.settings
        with open(self.log, "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                PROGRAM, *ARGUMENTS, cwd=ROOT, env=environment, stdout=log, stderr=log)
        self.lab.record("node_started", node=self.name, pid=self.process.pid)

    async def until_ready(self):
        for _ in range(600):
            if await self.is_ready():
                return
            await asyncio.sleep(0.05)
        raise CannotRun(f"{self.name} is not ready")

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection(self.ip, READY)
            writer.write(f"GET /-/ready HTTP/1.1\r\nHost: {self.ip}\r\nConnection: close\r\n\r\n".encode())
            line = await asyncio.wait_for(reader.readline(), 1)
            writer.close()
            return b" 200 " in line
        except (OSError, asyncio.TimeoutError):
            return False

    def signal(self, number):
        if self.process and self.process.returncode is None:
            self.lab.record("signal", node=self.name, signal=int(number))
            os.kill(self.process.pid, number)

    def end(self):
        if self.process and self.process.returncode is None:
            try:
                os.kill(self.process.pid, signal.SIGCONT)
                os.kill(self.process.pid, signal.SIGKILL)
            except ProcessLookupError:
                pass


class Owners:
    """Tells which node has the other end of a connection."""

    INTERVAL_S = 0.05

    def __init__(self, lab):
        self.lab, self.at, self.table = lab, 0.0, {}

    async def find(self, writer):
        """Returns the name of the node, or None if the connection is gone."""
        def form(address):
            return f"{int.from_bytes(socket.inet_aton(address[0]), sys.byteorder):08X}:{address[1]:04X}"

        ends = (form(writer.get_extra_info("peername")), form(writer.get_extra_info("sockname")))
        for _ in range(4):
            if ends in self.table:
                return self.table[ends]
            if time.monotonic() - self.at >= self.INTERVAL_S:
                self._read()
            else:
                await asyncio.sleep(self.INTERVAL_S)
        return None

    def _read(self):
        inodes = {}
        for node in self.lab.nodes:
            if node.process is None or node.process.returncode is not None:
                continue
            folder = f"/proc/{node.process.pid}/fd"
            for name in os.listdir(folder):
                try:
                    target = os.readlink(f"{folder}/{name}")
                except OSError:
                    continue
                if target.startswith("socket:["):
                    inodes[target[8:-1]] = node.name
        self.table = {}
        with open("/proc/net/tcp", encoding="ascii") as file:
            for line in file:
                fields = line.split()
                if fields[3] == "01" and fields[9] in inodes:
                    self.table[fields[1], fields[2]] = inodes[fields[9]]
        self.at = time.monotonic()


async def read_message(reader):
    """Reads the head and the body of a request or a response. Returns None at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, asyncio.LimitOverrunError, OSError):
        return None
    first, *lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines:
        if ":" in line:
            name, value = line.split(":", 1)
            headers.setdefault(name.strip().lower(), value.strip())
    try:
        if headers.get("transfer-encoding", "").lower() == "chunked":
            body = b""
            while True:
                size = int((await reader.readline()).strip() or b"0", 16)
                chunk = await reader.readexactly(size + 2)
                body += chunk[:-2]
                if size == 0:
                    break
        else:
            body = await reader.readexactly(int(headers.get("content-length", 0)))
    except (asyncio.IncompleteReadError, OSError, ValueError):
        return None
    return first, headers, body


def response(status, headers, body=b""):
    reason = {200: "OK", 400: "Bad Request", 404: "Not Found", 410: "Gone",
              421: "Misdirected Request", 503: "Service Unavailable"}.get(status, "Status")
    lines = [f"HTTP/1.1 {status} {reason}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


class Store:
    """The platform's metadata store: items, a history, and watches."""

    def __init__(self, lab):
        self.lab, self.ip = lab, lab.address()
        self.location = f"{self.ip}:8229"
        self.revision, self.items, self.history, self.floor = 10, {}, [], 0
        self.is_muted = False
        self.watchers = set()

    async def start(self):
        self.server = await asyncio.start_server(self._serve, self.ip, 8229)

    async def put(self, key, value):
        """Writes an item; bytes are stored as they are."""
        raw = value if isinstance(value, bytes) else json.dumps(value).encode()
        self.revision += 1
        created = self.items.get(key, {}).get("created", self.revision)
        item = {"key": key, "value": base64.b64encode(raw).decode(), "revision": self.revision,
                "created": created, "leaseId": 0}
        self.items[key] = item
        self.history.append(item)

    async def delete(self, key):
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self.history.append({"key": key, "revision": self.revision, "deleted": True})

    async def forget_history(self, during):
        """Watches hear nothing for a second while changes are made (`during`), then the history is
        dropped and the watches are cut."""
        self.is_muted = True
        self.lab.record("store_watches_hear_nothing")
        end = self.lab.now() + 1.0
        await during()
        await asyncio.sleep(max(0.0, end - self.lab.now()))
        self.floor = self.revision
        self.history = []
        self.is_muted = False
        for writer in list(self.watchers):
            writer.close()
        self.lab.record("store_history_dropped", revision=self.revision)

    async def _serve(self, reader, writer):
        try:
            while True:
                message = await read_message(reader)
                if message is None:
                    return
                method, target, _ = message[0].split(" ")
                path, _, query = target.partition("?")
                query = dict(it.split("=", 1) for it in query.split("&") if "=" in it)
                if path.endswith("kv-watch"):
                    answer = await self._watch(query, writer)
                elif path.endswith("kv-range"):
                    answer = self._range(query)
                elif path.endswith("kv-key"):
                    item = self.items.get(decode(query.get("key", "")))
                    answer = (404, {}) if item is None else (200, {**item, "storeRevision": self.revision})
                else:
                    answer = (404, {})
                if answer is None or method != "GET":
                    return
                status, body = answer
                writer.write(response(status, {"Content-Type": "application/json", "Store-Era": "1"},
                                      json.dumps(body).encode()))
                await writer.drain()
        except (OSError, ValueError):
            pass
        finally:
            writer.close()

    def _range(self, query):
        prefix, after = decode(query.get("prefix", "")), decode(query.get("after", ""))
        keys = [it for it in sorted(self.items) if it.startswith(prefix) and it > after]
        items = [self.items[it] for it in keys[:500]]
        return 200, {"items": items, "hasMore": len(keys) > 500, "storeRevision": self.revision}

    async def _watch(self, query, writer):
        prefix, after = decode(query.get("prefix", "")), int(query["after"])
        end = time.monotonic() + int(query.get("waitMs", 0)) / 1000
        self.watchers.add(writer)
        try:
            while True:
                if after < self.floor:
                    return 410, {}
                events = [it for it in self.history if it["revision"] > after and it["key"].startswith(prefix)]
                left = end - time.monotonic()
                if self.is_muted:
                    if left <= 0:
                        return 200, {"events": [], "storeRevision": after}
                elif events or left <= 0:
                    return 200, {"events": events, "storeRevision": self.revision}
                await asyncio.sleep(min(max(left, 0.001), WATCH_POLL_S))
                if writer.is_closing():
                    return None
        finally:
            self.watchers.discard(writer)


def decode(text):
    from urllib.parse import unquote_plus
    return unquote_plus(text)


class Searcher:
    """A backend server. `work` gives the seconds that a request takes."""

    def __init__(self, lab, store, name, service, zone, slots=6, queue=36, work=0.03):
        self.lab, self.store, self.name, self.service, self.zone = lab, store, name, service, zone
        self.slots, self.queue, self.work = slots, queue, work
        self.ip, self.port = lab.address(), 8080
        self.born = int(time.time() * 1000)
        self.state, self.cold_until, self.sequence = "ready", 0.0, 0
        self.server, self.connections = None, set()
        self.running, self.waiting = 0, 0
        self.free = asyncio.Semaphore(slots)
        self.headers = {}
        self.arrivals = []
        self.runs = []
        self.on_arrival = None
        self.health_path = "/health"
        # Nodes that are cut off from this searcher: their connections hang.
        self.cut = set()

    async def start(self):
        self.server = await asyncio.start_server(self._serve, self.ip, self.port)

    def entry(self):
        cold = max(0, int((self.cold_until - self.lab.now()) * 1000))
        return {"service": self.service, "address": f"{self.ip}:{self.port}", "zone": self.zone,
                "version": "v1", "maxConcurrency": self.slots, "state": self.state, "coldMs": cold,
                "sequence": self.sequence, "born": self.born}

    async def report(self):
        self.sequence += 1
        await self.store.put(f"servers/{self.name}", self.entry())

    async def heartbeats(self, interval=1.2):
        """Writes the entry again and again. It changes only if more than `sequence` has."""
        while True:
            await asyncio.sleep(interval)
            item = self.store.items.get(f"servers/{self.name}")
            try:
                known = json.loads(base64.b64decode(item["value"]))
                known.pop("sequence")
            except (KeyError, TypeError, ValueError, AttributeError):
                known = None
            entry = self.entry()
            entry.pop("sequence")
            if known != entry:
                await self.report()

    def is_cold(self):
        return self.lab.now() < self.cold_until

    async def crash(self):
        """Ends the process: nothing listens any more and all connections are reset."""
        self.server.close()
        for writer in list(self.connections):
            writer.transport.abort()
        self.connections.clear()
        self.lab.record("searcher_down", searcher=self.name, lost=self.running)

    async def _serve(self, reader, writer):
        self.connections.add(writer)
        server = self.server
        name = None
        try:
            while True:
                message = await read_message(reader)
                if self.cut and name is None:
                    name = await self.lab.owners.find(writer)
                while name in self.cut:
                    await asyncio.sleep(0.05)
                if message is None:
                    return
                answer = await self._answer(message, reader)
                if answer is None or server is not self.server:
                    return
                writer.write(answer)
                await writer.drain()
        except (OSError, ValueError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    async def _answer(self, message, reader):
        first, headers, body = message
        method, target, _ = first.split(" ")
        if target == self.health_path:
            return response(200, {"X-Instance-Id": self.name,
                                  "X-Cold-Ms": max(0, int((self.cold_until - self.lab.now()) * 1000)),
                                  **self.headers})
        request = headers.get("x-attempt-id", "")
        expected = headers.get("x-expect-instance")
        if expected not in (None, self.name):
            return response(421, {"X-Attempt-Id": request})
        now = self.lab.now()
        self.arrivals.append((now, request))
        self.lab.record("arrived", searcher=self.name, request=request, cold=self.is_cold())
        if self.on_arrival is not None and not await self.on_arrival(self, now):
            return None
        if self.running >= self.slots and self.waiting >= self.queue:
            return response(503, {"X-Attempt-Id": request, "X-Not-Run": "1", **self.headers})
        self.waiting += 1
        try:
            await self.free.acquire()
        finally:
            self.waiting -= 1
        self.running += 1
        try:
            self.runs.append((self.lab.now(), request))
            await asyncio.sleep(self.work() if callable(self.work) else self.work)
            if reader.at_eof():
                return None
        finally:
            self.running -= 1
            self.free.release()
        return response(200, {"X-Attempt-Id": request, "X-Answer-Stamp": f"{self.name}.{request}",
                              **self.headers}, f"{self.name} {request}".encode())


class Traffic:
    """Clients that send requests at a rate. Each keeps its connection while it may."""

    def __init__(self, lab, prefix):
        self.lab, self.prefix = lab, prefix
        self.count = 0
        self.sent = {}
        self.answers = {}
        self.idle = {}
        # The requests that were sent on a connection which had carried others.
        self.kept = set()

    def name(self):
        self.count += 1
        return f"{self.prefix}-{self.count}"

    async def one(self, node, path, method="GET", deadline=2.0, host="search.example", name=None, body=b""):
        """Sends one request. Returns the status, or None without a complete answer."""
        request = name or self.name()
        idle = self.idle.setdefault(node.name, [])
        while idle and (idle[-1][1].is_closing() or idle[-1][0].at_eof()):
            idle.pop()[1].close()
        if idle:
            self.kept.add(request)
        try:
            connection = idle.pop() if idle else await asyncio.wait_for(
                asyncio.open_connection(node.ip, FRONT), 1)
        except (OSError, asyncio.TimeoutError):
            self.sent[request] = self.lab.now()
            return self._answered(request, node, None, {}, "not connected")
        reader, writer = connection
        head = (f"{method} {path} HTTP/1.1\r\nHost: {host}\r\nX-Attempt-Id: {request}\r\n"
                f"X-Deadline-Ms: {int(deadline * 1000)}\r\nContent-Length: {len(body)}\r\n\r\n")
        self.sent[request] = self.lab.now()
        try:
            writer.write(head.encode() + body)
            message = await asyncio.wait_for(read_message(reader), deadline)
        except asyncio.TimeoutError:
            writer.close()
            return self._answered(request, node, None, {}, "no answer before the deadline")
        except OSError:
            message = None
        if message is None:
            writer.close()
            return self._answered(request, node, None, {}, "closed without an answer")
        first, headers, answer = message
        status = int(first.split(" ")[1])
        if headers.get("connection", "").lower() == "close":
            writer.close()
        else:
            idle.append(connection)
        return self._answered(request, node, status, headers, answer)

    def _answered(self, request, node, status, headers, body):
        now = self.lab.now()
        self.answers[request] = (now, node.name, status, headers, body)
        self.lab.record("answer", request=request, node=node.name, status=status,
                        sent=round(self.sent[request], 4),
                        **({"why": body} if isinstance(body, str) else {}))
        return status

    async def steady(self, nodes, path, rate, until, method="GET", deadline=2.0, body=b""):
        """Sends requests at a rate, to the nodes in turn, until a time."""
        next_at, turn = self.lab.now(), random.randrange(len(nodes))
        while self.lab.now() < until:
            node = nodes[turn % len(nodes)]
            turn += 1
            self.lab.spawn(self.one(node, f"{path}{self.count}", method, deadline, body=body))
            next_at += 1.0 / rate
            await asyncio.sleep(max(0.0, next_at - self.lab.now()))


def most_in(times, span):
    """Returns the most of these moments in any span of a length, and its start."""
    times = sorted(times)
    best, first = (0, 0.0), 0
    for last, moment in enumerate(times):
        while moment - times[first] >= span:
            first += 1
        best = max(best, (last - first + 1, times[first]))
    return best


def route(name, prefix, service, kind="idempotent", timeout=2000, target=500, attempts=2, **extra):
    return {"name": name, "host": "search.example", "prefix": prefix, "type": kind,
            "timeoutMs": timeout, "targetLatencyMs": target, "priority": 1, "service": service,
            "attempts": attempts, **extra}


def service(name, max_conns=46, warmup=3.0, cold_per_s=0.0):
    return {"name": name, "healthPath": "/health", "maxConns": max_conns, "protocol": "h1",
            "tlsMode": False, "warmupS": warmup, "coldPerS": cold_per_s}


def config(version, routes, services):
    return {"version": version, "routes": routes, "services": services,
            "limits": {"headerBytes": 16384, "bodyBytes": 262144, "headerMs": 3000, "idleMs": 15000}}
