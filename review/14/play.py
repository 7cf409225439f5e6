"""Requests that share a part that crashes runners are sent side by side."""

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
BAD_AT_ONCE = int(os.environ.get("AT_ONCE", "8"))  # requests side by side,
BAD_EVERY_S = 4.0 * BAD_AT_ONCE / 8                # so that 2 come a second
SOUND_PER_S = 10
LENGTH_S = 25.0
STABLE_WINDOW_S = 3.0    # bounds.stable_window_ms
MAX_LATE_REQUESTS = 3    # BUDGET: "more than three requests with a part"
BAD_PART = "bad0bad0"


async def play(case):
    arrivals = []
    crashes = []

    async def serve(runner, writer, method, target, head, body):
        name = head.get("Request-Id")
        is_bad = case.trouble and f",{BAD_PART}:" in head.get("Prompt-Prefix")
        case.note(f"{runner.id} runs {name}"
                  + (", which crashes it" if is_bad else ""))
        if is_bad:
            arrivals.append(time.monotonic())
        await asyncio.sleep(0.03)
        if is_bad:
            crashes.append(time.monotonic())
            runner.crash(BACK_AFTER_S)
            raise Closed()
        writer.write((
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
            f"Request-Id: {name}\r\nResponse-Signature: s.{runner.id}.{name}"
            "\r\nTransfer-Encoding: chunked\r\n\r\n").encode())
        for i in range(1, 5):
            event = f"id: {i}\ndata: x\n\n".encode()
            writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
            await writer.drain()
            await asyncio.sleep(0.02)
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
                  attempts=1, resumable=False, gap_aim_ms=300,
                  target_latency_ms=600),
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
        prompt = f"5c1e07a2:800,{part}:410,{random.randint(1, 8)}f:60,{name}:10"
        try:
            await connection.open()
            status, _, _, _ = await connection.request(
                "POST", "/chat/c", [
                    ("Host", "shop.example"), ("Request-Id", name),
                    ("Model", "m"), ("Token-Usage", "1280,24"),
                    ("Prompt-Prefix", prompt), ("Deadline-Ms", "5000"),
                    ("Authorization", "Bearer key-a")],
                name.encode(), timeout=6)
        except (OSError, asyncio.TimeoutError):
            status = None
        connection.close()
        case.note(f"{kind} request {name} ends with {status}")
        ends[(kind, status)] = ends.get((kind, status), 0) + 1

    began = time.monotonic()
    next_bad, next_sound = began + 2.0, began
    tasks = []
    while time.monotonic() < began + LENGTH_S:
        now = time.monotonic()
        if now >= next_sound:
            tasks.append(asyncio.create_task(attempt("sound")))
            next_sound += 1 / SOUND_PER_S
        if now >= next_bad:
            tasks += [asyncio.create_task(attempt("crashing"))
                      for _ in range(BAD_AT_ONCE)]
            next_bad += BAD_EVERY_S
        await asyncio.sleep(0.005)
    await asyncio.gather(*tasks)

    late = []
    if len(crashes) >= 5:
        bound = crashes[4] + STABLE_WINDOW_S
        late = [at for at in arrivals if at > bound]
    case.note(f"crashes: {len(crashes)}; {len(late)} requests with the part "
              f"reached runners later than {STABLE_WINDOW_S} s after the fifth "
              f"crash; allowed: {MAX_LATE_REQUESTS}")
    for (kind, status), number in sorted(ends.items(), key=str):
        case.note(f"{kind} requests that ended with {status}: {number}")
    return len(late) <= MAX_LATE_REQUESTS


run(HERE, play)
