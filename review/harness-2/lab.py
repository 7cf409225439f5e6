"""Stand-ins and process control for the scripts of review/6 to review/10.

One Python process plays the platform's store, the runners and the clients.
The routers are real processes, started with the command of the deploy file
and with settings that are rendered from the project's template.
Everything listens on loopback addresses.
"""

import asyncio
import base64
import ctypes
import json
import os
import re
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import traceback
from urllib.parse import parse_qs, urlsplit

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
ROUTER = os.path.join(ROOT, "target", "bin", "wasabi_router")
TEMPLATE = os.path.join(ROOT, "deploy", "wasabi_router.ini.template")

# As in the settings that the platform's page shows.
BOUNDS = {
    "drain_ms": 2000, "config_ms": 2000, "grace_s": 8, "ttl_max_s": 5,
    "retry_budget_ratio": 0.2, "budget_window_s": 10, "budget_slack": 56,
    "cap_x": 2, "stable_window_ms": 3000,
}
CONTRACTS = "base,drain,config,cost,retry,recover,engine,stream,tenants,platform"
HEARTBEAT_S = 1.2


PR_SET_PDEATHSIG = 1


def end_with_parent():
    """Runs in a new process: it is killed if this one ends in any way."""
    ctypes.CDLL(None).prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


class CannotRun(Exception):
    """The case could not be played; exit status 2."""


def now():
    return time.monotonic()


def free_port(ip):
    with socket.socket() as s:
        s.bind((ip, 0))
        return s.getsockname()[1]


class Record:
    """What was sent, answered and run, with the seconds since the start."""

    def __init__(self, path):
        self.file = open(path, "w")
        self.started = now()

    def note(self, text):
        self.file.write("%8.3f %s\n" % (now() - self.started, text))
        self.file.flush()


# ---------------------------------------------------------------- HTTP

async def read_head(reader):
    """Returns (first line, [(name, value)]) or None at the connection's end."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
        return None
    lines = raw.decode("latin-1").split("\r\n")
    fields = []
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            fields.append((name.strip().lower(), value.strip()))
    return lines[0], fields


def field(fields, name):
    for key, value in fields:
        if key == name.lower():
            return value
    return None


async def read_body(reader, fields, got=None):
    """Reads a body. `got`, a bytearray, holds what came if it ends early."""
    got = bytearray() if got is None else got
    if (field(fields, "transfer-encoding") or "").lower() == "chunked":
        while True:
            size = int((await reader.readuntil(b"\r\n")).strip(), 16)
            chunk = await reader.readexactly(size + 2)
            if size == 0:
                return bytes(got)
            got += chunk[:-2]
    got += await reader.readexactly(int(field(fields, "content-length") or 0))
    return bytes(got)


def encode_head(first_line, fields):
    text = first_line + "\r\n" + "".join("%s: %s\r\n" % it for it in fields)
    return (text + "\r\n").encode("latin-1")


# ---------------------------------------------------------------- store

class Store:
    """The platform's store, as far as the routers use it."""

    def __init__(self, ip):
        self.ip = ip
        self.port = free_port(ip)
        self.topics = {}
        self.changed = asyncio.Event()
        self.is_down = False

    @property
    def address(self):
        return "%s:%d" % (self.ip, self.port)

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.ip, self.port)

    def put(self, topic, key, value):
        key = key.encode()
        self.append(topic, bytes([len(key)]) + key + value)

    def drop(self, topic, key):
        self.put(topic, key, b"")

    def append(self, topic, record):
        log = self.topics.setdefault(topic, [])
        log.append(record)
        self.changed.set()
        self.changed = asyncio.Event()
        return len(log) - 1

    def newest(self, topic):
        newest = {}
        for offset, record in enumerate(self.topics.get(topic, [])):
            n = record[0]
            key, value = record[1:1 + n], record[1 + n:]
            newest.pop(key, None)
            if value:
                newest[key] = (value, offset)
        return newest

    async def serve(self, reader, writer):
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    return
                method, target, _ = head[0].split(" ", 2)
                body = await read_body(reader, head[1])
                status, kind, answer = await self.answer(method, target, body)
                writer.write(encode_head(
                    "HTTP/1.1 %d Status" % status,
                    [("Content-Type", kind), ("Content-Length", len(answer)),
                     ("Store-Era", "1")]) + answer)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            writer.close()

    async def answer(self, method, target, body):
        url = urlsplit(target)
        query = {k: v[0] for k, v in parse_qs(url.query).items()}
        topic = query.get("topic", "")
        if self.is_down:
            return 503, "application/json", b"{}"
        if url.path == "/log-newest":
            items = [{"key": k.decode(), "value": base64.b64encode(v).decode(), "offset": o}
                     for k, (v, o) in sorted(self.newest(topic).items())]
            end = len(self.topics.get(topic, []))
            text = json.dumps({"items": items, "has_more": False, "end": end})
            return 200, "application/json", text.encode()
        if url.path == "/log-read":
            start = int(query["from"])
            until = now() + int(query.get("wait_ms", 0)) / 1000
            while len(self.topics.get(topic, [])) <= start and now() < until:
                try:
                    await asyncio.wait_for(self.changed.wait(), until - now())
                except asyncio.TimeoutError:
                    break
            log = self.topics.get(topic, [])
            if start > len(log):
                return 410, "application/json", b'{"first":0}'
            data = struct.pack(">QQ", len(log), 0)
            for record in log[start:start + 2000]:
                data += struct.pack(">I", len(record)) + record
            return 200, "application/octet-stream", data
        if url.path == "/log-append" and method == "POST":
            first = None
            while body:
                n = struct.unpack(">I", body[:4])[0]
                offset = self.append(topic, body[4:4 + n])
                first = offset if first is None else first
                body = body[4 + n:]
            text = json.dumps({"offset": first, "end": len(self.topics.get(topic, []))})
            return 200, "application/json", text.encode()
        return 404, "application/json", b"{}"


# ---------------------------------------------------------------- runners

class Request:
    def __init__(self, runner, head, body, peer):
        self.runner = runner
        self.method, self.target, _ = head[0].split(" ", 2)
        self.fields = head[1]
        self.body = body
        self.peer = peer
        self.at = now()

    @property
    def id(self):
        return field(self.fields, "request-id") or ""


class Runner:
    """A runner. `behave(request, writer)` answers one request; it returns False
    if the connection ends with the answer."""

    def __init__(self, lab, name, service, ip, behave, slots=64, version="v1", zone="z0"):
        self.lab, self.id, self.service, self.ip = lab, name, service, ip
        self.behave, self.slots, self.version, self.zone = behave, slots, version, zone
        self.port = free_port(ip)
        self.state, self.seq = "ready", 0
        self.born = int(time.time() * 1000)
        self.reaches_store = True
        self.is_registered = False
        self.is_up = False
        self.arrivals = []
        self.running = 0
        self.writers = set()
        self.server = None

    @property
    def address(self):
        return "%s:%d" % (self.ip, self.port)

    async def start(self):
        for _ in range(100):
            try:
                self.server = await asyncio.start_server(
                    self.serve, self.ip, self.port, limit=1 << 20)
                break
            except OSError:
                await asyncio.sleep(0.02)
        else:
            raise CannotRun("runner %s cannot listen" % self.id)
        self.is_up = True
        self.beat_task = asyncio.ensure_future(self.beat())

    async def crash(self, down_s=None):
        """Ends like a killed process; starts again under its id after `down_s`."""
        if not self.is_up:
            return
        self.is_up = False
        self.lab.record.note("runner %s crashes" % self.id)
        self.server.close()
        self.beat_task.cancel()
        for writer in list(self.writers):
            writer.transport.abort()
        self.writers.clear()
        self.running = 0
        if down_s is not None:
            asyncio.ensure_future(self.return_after(down_s))

    async def return_after(self, down_s):
        await asyncio.sleep(down_s)
        self.born, self.seq = int(time.time() * 1000), 0
        await self.start()
        self.lab.record.note("runner %s is back" % self.id)

    def entry(self):
        return {"service": self.service, "address": self.address, "zone": self.zone,
                "version": self.version, "slots": self.slots, "state": self.state,
                "cold_left_ms": 0, "seq": self.seq, "born": self.born}

    def write_entry(self):
        self.seq += 1
        self.is_registered = True
        self.last_beat = now()
        self.lab.store.put("keyed.servers", self.id, json.dumps(self.entry()).encode())

    async def beat(self):
        while True:
            if self.reaches_store:
                self.write_entry()
            await asyncio.sleep(HEARTBEAT_S)

    async def serve(self, reader, writer):
        self.writers.add(writer)
        peer = writer.get_extra_info("peername")
        try:
            while self.is_up:
                head = await read_head(reader)
                if head is None:
                    return
                body = await read_body(reader, head[1])
                request = Request(self, head, body, peer)
                expected = field(head[1], "expect-instance")
                if expected is not None and expected != self.id:
                    await self.reply(writer, request, 421, b"", [("Not-Executed", "1")])
                    continue
                self.arrivals.append(request)
                if not await self.behave(request, writer):
                    return
        except (ConnectionError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def reply(self, writer, request, status, body, extra=()):
        fields = [("Request-Id", request.id), ("Instance-Id", self.id),
                  ("Content-Length", len(body))] + list(extra)
        writer.write(encode_head("HTTP/1.1 %d Status" % status, fields) + body)
        await writer.drain()
        return True

    async def serve_ok(self, request, writer, extra=()):
        body = ("%s by %s" % (request.id, self.id)).encode()
        return await self.reply(writer, request, 200, body,
                                [("Response-Signature", "s-" + request.id)] + list(extra))


# ---------------------------------------------------------------- routers

class Router:
    def __init__(self, lab, index, zone="z0"):
        self.lab, self.index, self.zone = lab, index, zone
        self.ip = "127.%d.%d.%d" % (30 + os.getpid() % 200, 1 + os.getpid() // 200 % 250, 1 + index)
        self.name = "front-%d" % index
        self.process = None
        self.has_started = False

    def settings(self):
        fields = {
            "node_name": self.name, "zone": self.zone, "ip": self.ip,
            "bootstrap": "false" if self.has_started else "true",
            "limits.link_mbps": "1000.0", "limits.memory_mb": "260",
            "listen.front": "%s:%d" % (self.ip, self.lab.ports["front"]),
            "listen.ready": "%s:%d" % (self.ip, self.lab.ports["ready"]),
            "listen.directory": "%s:%d" % (self.ip, self.lab.ports["directory"]),
            "internal_ports.0": self.lab.ports["internal0"],
            "internal_ports.1": self.lab.ports["internal1"],
            "seeds": ",".join("%s:%d" % (it.ip, self.lab.ports["front"])
                              for it in self.lab.routers[:3]),
            "platform.address": self.lab.store.address,
            "contracts": self.lab.contracts,
        }
        fields.update({"bounds." + k: v for k, v in BOUNDS.items()})
        text = open(TEMPLATE).read()
        text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}",
                      lambda m: m.group(2) if m.group(1) in fields else "", text, flags=re.S)
        text = re.sub(r"\{\{([\w.]+)\}\}", lambda m: str(fields.get(m.group(1), "")), text)
        path = os.path.join(self.lab.folder, self.name + ".ini")
        with open(path, "w") as file:
            file.write(text)
        return path

    def start(self):
        path = self.settings()
        log = open(os.path.join(self.lab.folder, self.name + ".log"), "a")
        self.process = subprocess.Popen(
            [ROUTER, "--settings=" + path], cwd=ROOT, stdin=subprocess.DEVNULL,
            stdout=log, stderr=log, preexec_fn=end_with_parent)
        log.close()
        self.has_started = True
        self.lab.record.note("router %s started" % self.name)

    def signal(self, number):
        self.lab.record.note("router %s gets signal %d" % (self.name, number))
        self.process.send_signal(number)

    def kill(self):
        self.signal(signal.SIGKILL)
        self.process.wait()

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection(self.ip, self.lab.ports["ready"])
            writer.write(b"GET /ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            head = await asyncio.wait_for(read_head(reader), 1)
            writer.close()
            return head is not None and " 200 " in head[0] + " "
        except (OSError, asyncio.TimeoutError):
            return False

    async def wait_ready(self, limit=20):
        until = now() + limit
        while now() < until:
            if self.process.poll() is not None:
                raise CannotRun("router %s ended with %s" % (self.name, self.process.returncode))
            if await self.is_ready():
                self.lab.record.note("router %s is ready" % self.name)
                return
            await asyncio.sleep(0.05)
        raise CannotRun("router %s isn't ready" % self.name)


# ---------------------------------------------------------------- lab

class Answer:
    def __init__(self, status, fields=(), body=b"", is_complete=False):
        self.status, self.fields, self.body, self.is_complete = status, fields, body, is_complete


class Lab:
    def __init__(self, folder):
        self.case = folder
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.record = Record(os.path.join(folder, "record.txt"))
        self.folder = tempfile.mkdtemp(prefix="wasabi-review-")
        self.contracts = CONTRACTS
        self.store = Store("127.0.0.1")
        self.routers, self.runners = [], []
        self.next_id = 0
        self.version = 0

    def add_routers(self, n):
        self.routers = [Router(self, i) for i in range(n)]
        self.ports = {}
        for name in ("front", "ready", "directory", "internal0", "internal1"):
            while True:
                port = free_port(self.routers[0].ip)
                if port not in self.ports.values():
                    self.ports[name] = port
                    break

    def add_runner(self, name, service, behave, **options):
        ip = "127.0.1.%d" % (1 + len(self.runners))
        runner = Runner(self, name, service, ip, behave, **options)
        self.runners.append(runner)
        return runner

    def configure(self, routes, services):
        self.version += 3
        config = {"version": self.version, "routes": routes,
                  "services": [{"name": it, "health_path": "/health", "max_conns": 370,
                                "protocol": "h1", "tls": False} for it in services],
                  "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
                             "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
                  "tenants": [{"name": "t1", "api_keys": ["key1"], "priority": 1}]}
        self.store.put("keyed.op", "config", json.dumps(config).encode())

    async def start(self):
        if not os.access(ROUTER, os.X_OK):
            raise CannotRun("target/bin/wasabi_router isn't built")
        await self.store.start()
        for it in self.runners:
            await it.start()
        for it in self.routers:
            it.start()
        for it in self.routers:
            await it.wait_ready()
        # Membership and the views settle.
        await asyncio.sleep(3)

    async def expire_entries(self):
        """The store removes an entry after three heartbeats of silence."""
        while True:
            for it in self.runners:
                if it.is_registered and now() - it.last_beat > 3 * HEARTBEAT_S:
                    it.is_registered = False
                    self.store.drop("keyed.servers", it.id)
                    self.record.note("store removes the entry of %s" % it.id)
            await asyncio.sleep(0.1)

    def new_id(self, prefix="q"):
        self.next_id += 1
        return "%s%06d" % (prefix, self.next_id)

    async def call(self, router, method, path, fields=(), body=b"", deadline_ms=1500, id=None):
        """Sends one client attempt and returns its Answer."""
        id = id or self.new_id()
        all_fields = [("Host", "shop.example"), ("Request-Id", id),
                      ("Deadline-Ms", deadline_ms), ("Authorization", "Bearer key1")]
        all_fields += list(fields)
        if body or method == "POST":
            all_fields.append(("Content-Length", len(body)))
        answer = Answer(0)
        writer = None
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection(
                router.ip, self.ports["front"], limit=1 << 20), 1)
            writer.write(encode_head("%s %s HTTP/1.1" % (method, path), all_fields) + body)
            answer = await asyncio.wait_for(self.read_answer(reader), deadline_ms / 1000 + 2)
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            if writer is not None:
                writer.close()
        answer.id = id
        return answer

    async def read_answer(self, reader):
        head = await read_head(reader)
        if head is None:
            return Answer(0)
        answer = Answer(int(head[0].split(" ")[1]), head[1])
        got = bytearray()
        try:
            await read_body(reader, head[1], got)
            answer.is_complete = True
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        answer.body = bytes(got)
        return answer

    def stop(self):
        for it in self.routers:
            if it.process is not None and it.process.poll() is None:
                it.process.send_signal(signal.SIGCONT)
                it.process.kill()
                it.process.wait()
        if os.environ.get("KEEP"):
            print("kept", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def route(name, prefix, kind, service, **more):
    it = {"name": name, "hostname": "shop.example", "path_prefix": prefix, "kind": kind,
          "timeout_ms": 1500, "target_latency_ms": 100, "priority": 1, "service": service,
          "attempts": 2, "public": False, "sticky": False, "resumable": False}
    it.update(more)
    return it


def main(play, folder, limit_s=110):
    """Plays a case. `play(lab)` returns the list of what broke the rule."""
    lab = Lab(folder)
    status = 2
    try:
        loop = asyncio.new_event_loop()
        for number in (signal.SIGINT, signal.SIGTERM):
            loop.add_signal_handler(number, loop.stop)
        broken = loop.run_until_complete(asyncio.wait_for(play(lab), limit_s))
        for line in broken:
            lab.record.note("BROKEN " + line)
            print("BROKEN", line)
        status = 1 if broken else 0
    except CannotRun as error:
        lab.record.note("cannot run: %s" % error)
        print("cannot run:", error)
    except asyncio.TimeoutError:
        lab.record.note("cannot run: out of time")
        print("cannot run: out of time")
    except Exception:
        lab.record.note("cannot run: " + traceback.format_exc())
        print("cannot run:", traceback.format_exc())
    lab.stop()
    lab.record.note("exit status %d" % status)
    sys.stdout.flush()
    # Tasks that still wait need no orderly end.
    os._exit(status)
