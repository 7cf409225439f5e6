"""Stand-ins for the scripts in review/: store, runners, clients, platform.

They speak what the users' pages say and run in one process on loopback; the
hosts of the fleet are real processes of target/bin/wasabi_router, started with
the command and the template of deploy/system.toml.
"""

import asyncio
import base64
import json
import os
import random
import re
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
from urllib.parse import parse_qs, urlsplit

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
HOST = "chats.example"
KEY = "key-of-tenant-one"
TENANT = "tenant-one"


# What a runner's trouble returns: it has answered; the connection stays open.
ANSWERED = "answered"


class CannotRun(Exception):
    """The case can't run here: exit 2."""


class Record:
    """record.txt: what was sent, answered and run."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w")
        self.start = time.monotonic()

    def now(self):
        return time.monotonic() - self.start

    def add(self, text):
        self.file.write("%8.3f %s\n" % (self.now(), text))
        self.file.flush()


def free_port(ip, kind=socket.SOCK_STREAM):
    with socket.socket(socket.AF_INET, kind) as s:
        s.bind((ip, 0))
        return s.getsockname()[1]


# ---------------------------------------------------------------- HTTP parts


def reset(writer):
    """Resets a connection."""
    sock = writer.get_extra_info("socket")
    if sock is not None:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


async def read_head(reader):
    """Returns (first line, list of fields), or None at the end of input."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
        return None
    lines = raw.decode("latin-1").split("\r\n")
    fields = []
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            fields.append((name.strip(), value.strip()))
    return lines[0], fields


def field(fields, name):
    for key, value in fields:
        if key.lower() == name.lower():
            return value
    return None


async def read_request(reader):
    head = await read_head(reader)
    if head is None:
        return None
    line, fields = head
    method, target, _ = line.split(" ", 2)
    n = int(field(fields, "Content-Length") or 0)
    body = await reader.readexactly(n) if n else b""
    return {"method": method, "target": target, "fields": fields, "body": body}


# -------------------------------------------------------------------- store


class Store:
    """The platform's store: the calls that keyed topics need."""

    LATENCY = 0.004

    def __init__(self):
        self.topics = {}
        self.era = 1
        self.changed = asyncio.Event()
        self.address = None
        # While it is down, no call gets an answer.
        self.down = False

    async def start(self, ip="127.0.0.1"):
        server = await asyncio.start_server(self.serve, ip, 0, limit=1 << 20)
        self.address = "%s:%d" % server.sockets[0].getsockname()[:2]

    def put(self, topic, key, value):
        log = self.topics.setdefault(topic, [])
        log.append((key, value))
        self.changed.set()
        self.changed = asyncio.Event()
        return len(log) - 1

    async def serve(self, reader, writer):
        try:
            while True:
                request = await read_request(reader)
                if request is None:
                    break
                status, kind, body = await self.answer(request)
                while self.down:
                    await asyncio.sleep(0.05)
                writer.write(
                    (
                        "HTTP/1.1 %d X\r\nContent-Type: %s\r\nContent-Length: %d\r\n"
                        "Store-Era: %d\r\n\r\n" % (status, kind, len(body), self.era)
                    ).encode()
                    + body
                )
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def answer(self, request):
        await asyncio.sleep(self.LATENCY)
        url = urlsplit(request["target"])
        query = {k: v[0] for k, v in parse_qs(url.query).items()}
        topic = query.get("topic", "")
        log = self.topics.setdefault(topic, [])
        if url.path == "/log-append":
            if topic in ("keyed.op", "keyed.servers"):
                return 403, "application/json", b"{}"
            at, body, first = 0, request["body"], len(log)
            while at + 4 <= len(body):
                (n,) = struct.unpack(">I", body[at : at + 4])
                record = body[at + 4 : at + 4 + n]
                size = record[0]
                self.put(topic, record[1 : 1 + size], record[1 + size :] or None)
                at += 4 + n
            answer = {"offset": first, "end": len(log)}
            return 200, "application/json", json.dumps(answer).encode()
        if url.path == "/log-read":
            start, wait = int(query.get("from", 0)), int(query.get("wait_ms", 0))
            until = time.monotonic() + wait / 1000
            while start >= len(log) and time.monotonic() < until:
                try:
                    left = until - time.monotonic()
                    await asyncio.wait_for(self.changed.wait(), max(left, 0.001))
                except asyncio.TimeoutError:
                    break
            if start > len(log):
                return 410, "application/json", b'{"first":0}'
            body = struct.pack(">QQ", len(log), 0)
            for key, value in log[start:]:
                record = bytes([len(key)]) + key + (value or b"")
                body += struct.pack(">I", len(record)) + record
            return 200, "application/octet-stream", body
        if url.path == "/log-newest":
            newest = {}
            for offset, (key, value) in enumerate(log):
                newest[key] = (value, offset)
            items = [
                {
                    "key": key.decode(),
                    "value": base64.b64encode(value).decode(),
                    "offset": offset,
                }
                for key, (value, offset) in sorted(newest.items())
                if value is not None
            ]
            answer = {"items": items, "has_more": False, "end": len(log)}
            return 200, "application/json", json.dumps(answer).encode()
        return 404, "application/json", b"{}"


def configuration(version, routes, services):
    return {
        "version": version,
        "routes": routes,
        "services": services,
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
        "tenants": [{"name": TENANT, "api_keys": [KEY], "priority": 1}],
    }


# Routes and services after the sheet of Salazar's rental desk.
STREAM_ROUTE = {
    "name": "r-stream", "hostname": HOST, "path_prefix": "/stream/",
    "kind": "streaming", "timeout_ms": 15000, "target_latency_ms": 600,
    "priority": 1, "service": "llm", "attempts": 2, "public": False,
    "sticky": True, "resumable": True, "gap_aim_ms": 300,
}
ONCE_ROUTE = dict(STREAM_ROUTE, name="r-once", path_prefix="/once/",
                  timeout_ms=12000, target_latency_ms=400, priority=0,
                  attempts=1, resumable=False)
HOLD_ROUTE = {
    "name": "r-hold", "hostname": HOST, "path_prefix": "/hold/",
    "kind": "unsafe", "timeout_ms": 800, "target_latency_ms": 100,
    "priority": 2, "service": "app", "attempts": 1, "public": False,
}
SAFE_ROUTE = dict(HOLD_ROUTE, name="r-safe", path_prefix="/safe/", kind="safe",
                  attempts=2)
ROUTES = [STREAM_ROUTE, ONCE_ROUTE, HOLD_ROUTE, SAFE_ROUTE]
SERVICES = [
    {"name": "llm", "health_path": "/health", "max_conns": 370, "protocol": "h1",
     "tls": False},
    {"name": "app", "health_path": "/health", "max_conns": 110, "protocol": "h1",
     "tls": False},
]


# ------------------------------------------------------------------ runners


class Runner:
    """A runner: plain answers and event streams, as the pages describe."""

    SIGNATURE = "3e1b.07"

    def __init__(self, fleet, name, service, zone, slots):
        self.fleet = fleet
        self.name = name
        self.service = service
        self.zone = zone
        self.slots = slots
        self.seq = 0
        self.born = int(time.time() * 1000)
        self.version = "v1"
        self.open = set()
        self.address = None
        # What its entry in the store says; None: its own address.
        self.listed_address = None
        self.state = "ready"
        # Called as trouble(runner, request, writer) for each request. Returns
        # ANSWERED, True if the connection is over, or False if it did nothing.
        self.trouble = None
        self.first_event_s = 0.25
        self.gap_s = 0.06
        self.events = 40
        self.work_s = (0.015, 0.11)
        self.running = 0

    async def start(self):
        port = int(self.address.split(":")[1]) if self.address else 0
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", port,
                                                 limit=1 << 20)
        self.address = "%s:%d" % self.server.sockets[0].getsockname()[:2]
        if self.listed_address is None:
            self.listed_address = self.address
        self.beat = asyncio.ensure_future(self.heartbeat())

    async def crash(self):
        """Ends at once: its connections are reset, and nothing listens."""
        self.fleet.record.add("runner %s crashes" % self.name)
        self.beat.cancel()
        self.server.close()
        for writer in list(self.open):
            reset(writer)

    async def start_again(self, version):
        """Starts under the same id and address, and knows nothing of before."""
        self.version = version
        self.born = int(time.time() * 1000)
        self.seq = 0
        await self.start()
        self.fleet.record.add("runner %s starts again, software %s" % (self.name, version))

    def register(self):
        if self.fleet.store.down:
            return
        self.seq += 1
        entry = {
            "service": self.service, "address": self.listed_address,
            "zone": self.zone, "version": self.version, "slots": self.slots,
            "state": self.state, "cold_left_ms": 0, "seq": self.seq,
            "born": self.born,
        }
        self.fleet.store.put("keyed.servers", self.name.encode(),
                             json.dumps(entry).encode())

    async def heartbeat(self):
        while True:
            self.register()
            await asyncio.sleep(0.1 if self.fleet.store.down else 1.2)

    async def serve(self, reader, writer):
        self.open.add(writer)
        try:
            while True:
                request = await read_request(reader)
                if request is None or await self.handle(request, reader, writer):
                    break
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self.open.discard(writer)
            writer.close()

    def head(self, request, status, extra):
        text = "HTTP/1.1 %d X\r\n" % status
        rid = field(request["fields"], "Request-Id")
        if rid:
            text += "Request-Id: %s\r\n" % rid
        for name, value in extra:
            text += "%s: %s\r\n" % (name, value)
        return (text + "\r\n").encode()

    async def handle(self, request, reader, writer):
        """Answers one request. Returns True if the connection is over."""
        fields = request["fields"]
        rid = field(fields, "Request-Id") or ""
        expected = field(fields, "Expect-Instance")
        if expected != self.name:
            writer.write(self.head(request, 421, [("Instance-Id", self.name),
                                                  ("Content-Length", "0")]))
            return False
        self.fleet.record.add("runner %s gets %s %s %s" % (
            self.name, rid, request["target"],
            "from event %s" % field(fields, "Last-Event-Id")
            if field(fields, "Last-Event-Id") else ""))
        self.fleet.arrived.setdefault(rid, []).append(self.name)
        if self.trouble is not None:
            end = await self.trouble(self, request, writer)
            if end == ANSWERED:
                return False
            if end:
                return True
        self.running += 1
        try:
            if self.service == "llm":
                await self.stream(request, writer)
            else:
                await self.plain(request, writer)
        finally:
            self.running -= 1
        return False

    async def plain(self, request, writer):
        rid = field(request["fields"], "Request-Id")
        await asyncio.sleep(random.uniform(*self.work_s))
        body = (rid + " ").encode() * 30
        self.fleet.record.add("runner %s has run %s" % (self.name, rid))
        writer.write(self.head(request, 200, [
            ("Response-Signature", self.SIGNATURE),
            ("Content-Length", str(len(body)))]) + body)
        await writer.drain()

    @staticmethod
    def event(rid, number, version="v1"):
        return ("id: %d\ndata: %s token %d %s\n\n"
                % (number, rid, number, version)).encode()

    async def stream(self, request, writer, last=None):
        """An event stream in chunks, to its end or to event `last`."""
        rid = field(request["fields"], "Request-Id")
        first = int(field(request["fields"], "Last-Event-Id") or 0) + 1
        await asyncio.sleep(self.first_event_s)
        writer.write(self.head(request, 200, [
            ("Response-Signature", self.SIGNATURE),
            ("Content-Type", "text/event-stream"),
            ("Transfer-Encoding", "chunked")]))
        total = self.events() if callable(self.events) else self.events
        for number in range(first, total + 1):
            data = self.event(rid, number, self.version)
            writer.write(b"%x\r\n%s\r\n" % (len(data), data))
            await writer.drain()
            if number == last:
                return
            await asyncio.sleep(self.gap_s)
        self.fleet.record.add("runner %s has run %s" % (self.name, rid))
        writer.write(b"0\r\n\r\n")
        await writer.drain()


# -------------------------------------------------------------------- hosts


def render(template, values):
    """The platform's way to fill in a template, as far as this one needs it."""

    def lookup(name):
        at = values
        for part in name.split("."):
            if isinstance(at, dict):
                at = at.get(part)
            elif isinstance(at, list) and part.isdigit() and int(part) < len(at):
                at = at[int(part)]
            else:
                return None
        return at

    def section(match):
        return render(match.group(2), values) if lookup(match.group(1)) else ""

    template = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, template,
                      flags=re.S)

    def value(match):
        it = lookup(match.group(1))
        if it is None:
            return ""
        if isinstance(it, bool):
            return "true" if it else "false"
        return ",".join(map(str, it)) if isinstance(it, list) else str(it)

    return re.sub(r"\{\{([\w.]+)\}\}", value, template)


class Host:
    """One host: a real process, and the platform that watches it."""

    MEMORY_MB = 260

    def __init__(self, fleet, index, zone):
        self.fleet = fleet
        self.name = "front-%d" % index
        self.zone = zone
        self.ip = "127.0.0.%d" % (10 + index)
        self.process = None
        self.memory_ends = []
        self.ended = False
        self.ports = {}
        self.peak_mb = 0.0

    def address(self, what):
        return self.ip, self.ports[what]

    def values(self, bootstrap):
        return {
            "node_name": self.name, "ip": self.ip, "zone": self.zone,
            "bootstrap": bootstrap,
            "listen": {k: "%s:%d" % (self.ip, self.ports[k])
                       for k in ("front", "ready", "directory", "control")},
            "internal_ports": [self.ports["gossip"], self.ports["internal"]],
            "seeds": ["%s:%d" % (h.ip, h.ports["control"])
                      for h in self.fleet.hosts[:3]],
            "limits": {"link_mbps": 1000.0},
            "platform": {"address": self.fleet.store.address},
            "contracts": ["base", "drain", "config", "cost", "retry", "recover",
                          "engine", "stream", "tenants", "platform"],
            "bounds": {"drain_ms": 2000, "config_ms": 2000, "grace_s": 8,
                       "ttl_max_s": 5, "retry_budget_ratio": 0.2,
                       "budget_window_s": 10, "budget_slack": 56, "cap_x": 2},
        }

    def start(self, bootstrap):
        with open(os.path.join(ROOT, "deploy/wasabi_router.ini.template")) as f:
            text = render(f.read(), self.values(bootstrap))
        path = os.path.join(self.fleet.work, self.name + ".ini")
        with open(path, "w") as f:
            f.write(text)
        command = [w if not w.startswith("--settings=") else "--settings=" + path
                   for w in run_command()]
        log = open(os.path.join(self.fleet.work, self.name + ".log"), "ab")
        self.process = subprocess.Popen(command, cwd=ROOT, stdout=log, stderr=log,
                                        stdin=subprocess.DEVNULL)
        self.fleet.record.add("host %s starts" % self.name)

    def signal(self, number):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)
            self.fleet.record.add("host %s gets %s" % (
                self.name, signal.Signals(number).name))

    def memory_mb(self):
        try:
            with open("/proc/%d/statm" % self.process.pid) as f:
                return int(f.read().split()[1]) * os.sysconf("SC_PAGESIZE") / 1e6
        except (OSError, IndexError, ValueError):
            return 0.0

    async def watch(self):
        """The platform: it kills a process over its memory and restarts it."""
        while not self.ended:
            await asyncio.sleep(0.02)
            if self.process is None:
                continue
            code = self.process.poll()
            if code is not None:
                self.fleet.record.add("host %s has ended: %s" % (self.name, code))
                self.process = None
                await asyncio.sleep(0.3)
                if not self.ended:
                    self.start(False)
                continue
            used = self.memory_mb()
            self.peak_mb = max(self.peak_mb, used)
            if used > self.MEMORY_MB:
                self.memory_ends.append(self.fleet.record.now())
                self.fleet.record.add(
                    "host %s uses %.0f MB, over its %d MB: the platform kills it"
                    % (self.name, used, self.MEMORY_MB))
                self.process.kill()


def run_command():
    with open(os.path.join(ROOT, "deploy/system.toml")) as f:
        return re.search(r'^run = "(.*)"', f.read(), re.M).group(1).split()


# ------------------------------------------------------------------ clients


class Connection:
    """A client's kept connection."""

    def __init__(self, fleet, address):
        self.fleet = fleet
        self.address = address
        self.reader = self.writer = None
        self.answers = 0

    async def open(self):
        self.reader, self.writer = await asyncio.wait_for(
            asyncio.open_connection(*self.address, limit=1 << 20), 1)

    def close(self):
        if self.writer is not None:
            self.writer.close()
            self.writer = None

    async def ask(self, method, target, rid, deadline_ms, extra=(), body=b""):
        """Sends one request. Returns a dict that tells how it ended."""
        out = {"id": rid, "status": None, "fields": [], "body": b"",
               "complete": False, "kept": self.answers > 0,
               "sent_at": self.fleet.record.now()}
        text = "%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\n" % (
            method, target, HOST, rid)
        text += "Deadline-Ms: %d\r\nAuthorization: Bearer %s\r\n" % (deadline_ms, KEY)
        for name, value in extra:
            text += "%s: %s\r\n" % (name, value)
        if method == "POST":
            text += "Content-Length: %d\r\n" % len(body)
        try:
            self.writer.write(text.encode() + b"\r\n" + body)
            await asyncio.wait_for(self.read_answer(out), deadline_ms / 1000)
        except asyncio.TimeoutError:
            out["end"] = "the client gives up"
            self.close()
        except (ConnectionError, asyncio.IncompleteReadError, ValueError) as error:
            out["end"] = "the connection ends: %s" % type(error).__name__
            self.close()
        out["ended_at"] = self.fleet.record.now()
        self.fleet.record.add("client gets for %s: status %s, %d bytes, %s" % (
            rid, out["status"], len(out["body"]),
            "complete" if out["complete"] else out.get("end", "")))
        return out

    async def read_answer(self, out):
        head = await read_head(self.reader)
        if head is None:
            raise ConnectionError()
        line, out["fields"] = head
        out["status"] = int(line.split(" ")[1])
        if (field(out["fields"], "Transfer-Encoding") or "").lower() == "chunked":
            while True:
                size = int((await self.reader.readuntil(b"\r\n")).split(b";")[0], 16)
                piece = await self.reader.readexactly(size + 2)
                if size == 0:
                    break
                out["body"] += piece[:-2]
        else:
            n = field(out["fields"], "Content-Length")
            if n is None:
                raise ValueError("no framing")
            out["body"] += await self.reader.readexactly(int(n))
        out["complete"] = True
        self.answers += 1
        if (field(out["fields"], "Connection") or "").lower() == "close":
            self.close()


class Caller:
    """A client as the pages describe it: it asks for addresses, keeps them for
    their time (or three times as long), and longer if it gets no new ones."""

    def __init__(self, fleet, zone, patient):
        self.fleet = fleet
        self.zone = zone
        self.keep = 3 if patient else 1
        self.addresses = []
        self.valid_until = -1.0
        self.failed = set()
        self.connection = None

    async def refresh(self):
        fleet = self.fleet
        if fleet.record.now() < self.valid_until:
            return
        near = sorted(fleet.hosts, key=lambda h: h.zone != self.zone)
        for host in near[:3]:
            addresses, ttl_s = await fleet.resolve(host)
            if addresses:
                self.addresses = addresses
                self.valid_until = fleet.record.now() + min(ttl_s, 5) * self.keep
                self.failed.clear()
                if self.connection and self.connection.name not in addresses:
                    self.drop()
                return

    def drop(self):
        if self.connection is not None:
            self.connection.close()
        self.connection = None

    async def connect(self):
        """Returns an open connection, or None."""
        await self.refresh()
        if self.connection is not None and self.connection.writer is not None:
            return self.connection
        choice = [a for a in self.addresses if a not in self.failed] or self.addresses
        if not choice:
            return None
        name = random.choice(choice)
        ip, port = name.split(":")
        connection = Connection(self.fleet, (ip, int(port)))
        connection.name = name
        try:
            await connection.open()
        except (OSError, asyncio.TimeoutError):
            self.failed.add(name)
            return None
        self.connection = connection
        return connection


# -------------------------------------------------------------------- fleet


class Fleet:
    def __init__(self, folder, hosts=3, llm=3, apps=3):
        self.record = Record(folder)
        self.work = tempfile.mkdtemp(prefix="wasabi-review-")
        self.store = Store()
        self.arrived = {}
        self.zones = ["zone-a", "zone-b", "zone-c"]
        self.hosts = [Host(self, i, self.zones[i % 3]) for i in range(hosts)]
        self.llm = [Runner(self, "i-llm%d" % i, "llm", self.zones[i % 3], 64)
                    for i in range(llm)]
        self.apps = [Runner(self, "i-app%d" % i, "app", self.zones[i % 3], 6)
                     for i in range(apps)]
        self.tasks = []
        self.numbers = 0

    def next_id(self):
        self.numbers += 1
        return "%016x" % (0x9C41D07BE2A30000 + self.numbers)

    async def start(self):
        binary = run_command()[0]
        if not os.access(os.path.join(ROOT, binary), os.X_OK):
            raise CannotRun("%s is not built" % binary)
        await self.store.start()
        config = configuration(1, ROUTES, SERVICES)
        self.store.put("keyed.op", b"config", json.dumps(config).encode())
        for runner in self.llm + self.apps:
            await runner.start()
        kinds = {"gossip": socket.SOCK_DGRAM}
        for what in ("front", "ready", "directory", "control", "gossip", "internal"):
            port = free_port(self.hosts[0].ip, kinds.get(what, socket.SOCK_STREAM))
            for host in self.hosts:
                host.ports[what] = port
        for host in self.hosts:
            host.start(True)
            self.tasks.append(asyncio.ensure_future(host.watch()))
        await self.until_ready()

    async def until_ready(self, limit_s=20):
        until = time.monotonic() + limit_s
        for host in self.hosts:
            while not await self.is_ready(host):
                if time.monotonic() > until:
                    raise CannotRun("%s is not ready" % host.name)
                await asyncio.sleep(0.1)
        self.record.add("all hosts are ready")

    async def is_ready(self, host):
        try:
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection(*host.address("ready")), 1)
            writer.write(b"GET /ready HTTP/1.1\r\nHost: x\r\n\r\n")
            head = await asyncio.wait_for(read_head(reader), 1)
            writer.close()
            return head is not None and " 200 " in head[0]
        except (OSError, asyncio.TimeoutError):
            return False

    async def resolve(self, host):
        """Asks a host for the addresses of the fleet. Returns them and the
        seconds for which they may be kept."""
        writer = None
        try:
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection(*host.address("directory")), 1)
            writer.write(("GET /resolve?name=%s&region=r&zone=%s HTTP/1.1\r\n"
                          "Host: x\r\n\r\n" % (HOST, host.zone)).encode())
            head = await asyncio.wait_for(read_head(reader), 1)
            n = int(field(head[1], "Content-Length"))
            body = json.loads(await reader.readexactly(n))
            return body.get("addresses", []), body.get("ttl_s", 0)
        except (OSError, asyncio.TimeoutError, TypeError, ValueError,
                asyncio.IncompleteReadError):
            return [], 0
        finally:
            if writer is not None:
                writer.close()

    def stop(self):
        for host in self.hosts:
            host.ended = True
            if host.process is not None and host.process.poll() is None:
                host.process.kill()
                host.process.wait()
        if os.environ.get("KEEP_WORK"):
            print("work folder:", self.work)
        else:
            shutil.rmtree(self.work, ignore_errors=True)


def main(case):
    """Runs `case(fleet, trouble)`, which returns the violations. Exits with 1
    if there are any, with 0 if there are none, and with 2 if it can't run."""
    folder = os.path.dirname(os.path.abspath(sys.argv[0]))
    trouble = os.environ.get("TROUBLE", "1") != "0"
    fleets = []

    def new_fleet(**options):
        fleets.append(Fleet(folder, **options))
        return fleets[-1]

    def finish(code):
        for fleet in fleets:
            fleet.stop()
        sys.stdout.flush()
        # Without the ends of tasks and transports that nobody waits for.
        os._exit(code)

    async def run():
        try:
            violations = await asyncio.wait_for(case(new_fleet, trouble), 110)
        except (CannotRun, OSError, asyncio.TimeoutError) as error:
            print("cannot run:", type(error).__name__, error)
            finish(2)
        for it in violations:
            print("BROKEN:", it)
            fleets[0].record.add("BROKEN: " + it)
        if not violations:
            print("held")
            fleets[0].record.add("held")
        finish(1 if violations else 0)

    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: finish(2))
    try:
        asyncio.run(run())
    except BaseException as error:  # a fault of the case itself
        print("cannot run:", type(error).__name__, error)
    finish(2)
