"""A request that crashes its runners comes again once a second."""

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
RUNNERS = 3
BACK_AFTER_S = 2.0       # "the runner is back after some seconds"
COMES_AGAIN_S = 1.0
SOUND_PER_S = 20
LENGTH_S = 20.0
STABLE_WINDOW_S = 3.0    # bounds.stable_window_ms
MAX_LATE_RETRIES = 3     # BUDGET: "in more than three retries"
BAD_TARGET = "/shop/bad"
# Runners of a second, sound service, which gets no requests.
OTHER_RUNNERS = int(os.environ.get("OTHER", "0"))


async def play(case):
    arrivals = []
    crashes = []

    async def serve(runner, writer, method, target, head, body):
        if target != BAD_TARGET or not case.trouble:
            await runner.plain(runner, writer, method, target, head, body)
            return
        arrivals.append(time.monotonic())
        case.note(f"{runner.id} runs {head.get('Request-Id')} {target}, "
                  "which crashes it")
        await asyncio.sleep(0.002)
        crashes.append(time.monotonic())
        runner.crash(BACK_AFTER_S)
        raise Closed()

    runners = [Runner(None, case.record, "counter", f"127.0.8.{i + 1}",
                      f"c{i}", slots=6) for i in range(RUNNERS)]
    for runner in runners:
        runner.serve_one = serve
    routes = [route("r-shop", "/shop/", "counter", "safe", attempts=2,
                    timeout_ms=800, target_latency_ms=100)]
    services = [service("counter")]
    others = [Runner(None, case.record, "chat", f"127.0.9.{i + 1}", f"m{i}",
                     slots=64) for i in range(OTHER_RUNNERS)]
    if others:
        routes.append(route("r-chat", "/chat/", "chat", "safe"))
        services.append(service("chat"))
    await case.start(MACHINES, runners + others, configuration(
        1, routes, services, LIMITS, TENANTS))

    ends = {}

    async def attempt(target, key):
        """One client attempt, on a new connection."""
        connection = Connection(random.choice(case.routers).front())
        name = request_id()
        try:
            await connection.open()
            status, _, _, _ = await connection.request(
                "GET", target, [
                    ("Host", "shop.example"), ("Request-Id", name),
                    ("Deadline-Ms", "1500"),
                    ("Authorization", f"Bearer {key}")], timeout=2)
        except (OSError, asyncio.TimeoutError):
            status = None
        connection.close()
        case.note(f"client attempt {name} {target} ends with {status}")
        ends[(target == BAD_TARGET, status)] = \
            ends.get((target == BAD_TARGET, status), 0) + 1
        return status

    async def bad_client():
        """One retry at once, as for every safe request that fails."""
        await asyncio.sleep(1.0)
        while time.monotonic() < began + LENGTH_S:
            status = await attempt(BAD_TARGET, "key-b")
            if status in (502, 504, None):
                await attempt(BAD_TARGET, "key-b")
            await asyncio.sleep(COMES_AGAIN_S)

    began = time.monotonic()
    bad = asyncio.create_task(bad_client())
    sound = []
    while time.monotonic() < began + LENGTH_S:
        sound.append(asyncio.create_task(
            attempt(f"/shop/item-{len(sound)}", "key-a")))
        await asyncio.sleep(1 / SOUND_PER_S)
    await asyncio.gather(bad, *sound)

    late = []
    if len(crashes) >= 3:
        bound = crashes[2] + STABLE_WINDOW_S
        late = [at for at in arrivals if at > bound]
    case.note(f"crashes: {len(crashes)}; the request reached runners "
              f"{len(late)} times later than {STABLE_WINDOW_S} s after the "
              f"third crash; allowed: {MAX_LATE_RETRIES}")
    for (is_bad, status), count in sorted(ends.items(), key=str):
        case.note(f"{'crashing' if is_bad else 'sound'} client attempts that "
                  f"ended with {status}: {count}")
    return len(late) <= MAX_LATE_RETRIES


run(HERE, play)
