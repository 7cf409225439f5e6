"""A part crashes runners whose streams end with their connection."""

import asyncio
import os
import random
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "harness-3"))

# pylint: disable=wrong-import-position
from case import run
from standins import (LIMITS, TENANTS, Closed, Connection, Runner,
                      configuration, request_id, route, service)

MACHINES = 3
RUNNERS = 9
BACK_AFTER_S = 2.0       # "the runner is back after some seconds"
BAD_PER_S = 2
SOUND_PER_S = 10
EVENTS = 5
EVENT_S = 0.02
LENGTH_S = 25.0
STABLE_WINDOW_S = 3.0    # bounds.stable_window_ms
MAX_LATE_REQUESTS = 3    # BUDGET: "more than three requests with a part"
BAD_PART = "bad0bad0"
# Whether the runners write their streams in chunks instead.
CHUNKS = os.environ.get("CHUNKS", "0") != "0"
RESUMABLE = os.environ.get("RESUMABLE", "0") != "0"


async def play(case):
    arrivals = []
    crashes = []

    async def serve(runner, writer, method, target, head, body):
        """Writes a stream, and ends it with the connection."""
        name = head.get("Request-Id")
        is_bad = case.trouble and f",{BAD_PART}:" in head.get("Prompt-Prefix")
        case.note(f"{runner.id} runs {name}"
                  + (", which crashes it" if is_bad else ""))
        if is_bad:
            arrivals.append(time.monotonic())
        await asyncio.sleep(0.03)
        writer.write((
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
            f"Request-Id: {name}\r\nResponse-Signature: s.{runner.id}.{name}"
            + ("\r\nTransfer-Encoding: chunked\r\n\r\n" if CHUNKS else
               "\r\nConnection: close\r\n\r\n")).encode())
        first = int(head.get("Last-Event-Id") or 0) + 1
        for i in range(first, EVENTS + 1):
            event = f"id: {i}\ndata: x\n\n".encode()
            if CHUNKS:
                event = f"{len(event):x}\r\n".encode() + event + b"\r\n"
            writer.write(event)
            await writer.drain()
            await asyncio.sleep(EVENT_S)
            if is_bad:
                crashes.append(time.monotonic())
                runner.crash(BACK_AFTER_S, resets=False)
                raise Closed()
        if not CHUNKS:
            raise Closed()
        writer.write(b"0\r\n\r\n")
        await writer.drain()

    runners = [Runner(None, case.record, "chat", f"127.0.8.{i + 1}", f"m{i}",
                      slots=64) for i in range(RUNNERS)]
    for runner in runners:
        runner.serve_one = serve
    other = [Runner(None, case.record, "counter", f"127.0.9.{i + 1}", f"c{i}",
                    slots=6) for i in range(3)]
    await case.start(MACHINES, runners + other, configuration(
        1, [route("r-chat", "/chat/", "chat", "streaming", sticky=True,
                  attempts=2 if RESUMABLE else 1, resumable=RESUMABLE,
                  gap_aim_ms=300, target_latency_ms=600),
            route("r-shop", "/shop/", "counter", "safe")],
        [service("chat", {"slots": 64, "kv_tokens": 672502,
                          "kv_bytes": 35136, "models": [{"name": "m"}]}),
         service("counter")], LIMITS, TENANTS))

    ends = {}

    async def attempt(kind):
        """A request like no other, on a new connection, with no retry."""
        connection = Connection(random.choice(case.routers).front())
        name = request_id()
        part = BAD_PART if kind == "crashing" else f"{random.choice('abcd')}1"
        try:
            await connection.open()
            status, _, body, is_whole = await connection.request(
                "POST", "/chat/c", [
                    ("Host", "shop.example"), ("Request-Id", name),
                    ("Model", "m"), ("Token-Usage", "1220,24"),
                    ("Prompt-Prefix", f"5c1e07a2:800,{part}:410,{name}:10"),
                    ("Deadline-Ms", "5000"),
                    ("Authorization", "Bearer key-a")],
                name.encode(), timeout=6)
        except (OSError, asyncio.TimeoutError):
            status, body, is_whole = None, b"", False
        connection.close()
        end = (f"{status}, {'complete' if is_whole else 'cut'}, "
               f"{body.count(b'data: ')} events")
        case.note(f"{kind} request {name} ends with {end}")
        ends[(kind, end)] = ends.get((kind, end), 0) + 1

    began = time.monotonic()
    next_bad, next_sound = began + 2.0, began
    tasks = []
    while time.monotonic() < began + LENGTH_S:
        now = time.monotonic()
        if now >= next_sound:
            tasks.append(asyncio.create_task(attempt("sound")))
            next_sound += 1 / SOUND_PER_S
        if now >= next_bad:
            tasks.append(asyncio.create_task(attempt("crashing")))
            next_bad += 1 / BAD_PER_S
        await asyncio.sleep(0.005)
    await asyncio.gather(*tasks)

    late = []
    if len(crashes) >= 5:
        bound = crashes[4] + STABLE_WINDOW_S
        late = [at for at in arrivals if at > bound]
    case.note(f"crashes: {len(crashes)}; {len(late)} requests with the part "
              f"reached runners later than {STABLE_WINDOW_S} s after the fifth "
              f"crash; allowed: {MAX_LATE_REQUESTS}")
    for (kind, end), number in sorted(ends.items()):
        case.note(f"{kind} requests that ended with {end}: {number}")
    return len(late) <= MAX_LATE_REQUESTS


run(HERE, play)
