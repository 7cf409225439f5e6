"""Runners fail part of their requests and break off part of their answers."""

import asyncio
import os
import random
import re
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "harness"))
import fleet as f  # noqa: E402

# The site's doses: srv_grey "errors all" has share 1.0 and x 0.45, for 4 s at
# most; garble has share 0.436 and x 0.0233, for 6.29 s. Both come more than once.
WINDOWS = 12
WINDOW_S = 4.0
CALM_S = 1.0
FAIL_SHARE = 0.45
CUT_SHARE = 0.0233
GARBLED = "i-llm0"  # one runner of three
EVENTS = 20
STATUSES = (400, 404, 409, 500)


async def grey(runner, request, writer):
    """Fails part of the requests, and breaks off part of the answers."""
    fields = request["fields"]
    rid = f.field(fields, "Request-Id")
    if random.random() < FAIL_SHARE:
        status = random.choice(STATUSES)
        body = b'{"error":"the runner fails"}'
        runner.fleet.record.add("runner %s fails %s with %d" % (runner.name, rid, status))
        await asyncio.sleep(0.02)
        writer.write(runner.head(request, status, [
            ("Response-Signature", runner.SIGNATURE),
            ("Content-Length", str(len(body)))]) + body)
        await writer.drain()
        return f.ANSWERED
    if (runner.name == GARBLED and random.random() < CUT_SHARE
            and not f.field(fields, "Last-Event-Id")):
        last = random.randint(2, EVENTS - 2)
        await runner.stream(request, writer, last)
        runner.fleet.record.add("runner %s breaks off %s after event %d"
                                % (runner.name, rid, last))
        await asyncio.sleep(0.05)
        f.reset(writer)
        return True
    return False


async def talk(fleet, host, until, answers):
    connection = f.Connection(fleet, host.address("front"))
    number = random.randrange(1 << 16)
    while fleet.record.now() < until:
        try:
            if connection.writer is None:
                connection = f.Connection(fleet, host.address("front"))
                await connection.open()
        except (OSError, asyncio.TimeoutError):
            await asyncio.sleep(0.1)
            continue
        number += 1
        answers.append(await connection.ask(
            "POST", "/stream/1", fleet.next_id(), 15000,
            [("Model", "m"), ("Token-Usage", "800,120"),
             ("Prompt-Prefix", "5c%02x:600,%06x:200" % (number % 40, number))], b"ask"))
    connection.close()


async def case(new_fleet, trouble):
    fleet = new_fleet()
    for runner in fleet.llm:
        runner.events = EVENTS
        runner.gap_s = 0.03
        runner.first_event_s = 0.06
    await fleet.start()
    await asyncio.sleep(4)
    answers = []
    until = fleet.record.now() + WINDOWS * (WINDOW_S + CALM_S)
    work = asyncio.gather(*(talk(fleet, h, until, answers)
                            for h in fleet.hosts for _ in range(20)))
    for _ in range(WINDOWS):
        if trouble:
            for runner in fleet.llm:
                runner.trouble = grey
            fleet.record.add("runners go grey, and %s breaks answers off" % GARBLED)
        await asyncio.sleep(WINDOW_S)
        for runner in fleet.llm:
            runner.trouble = None
        fleet.record.add("runners are sound")
        await asyncio.sleep(CALM_S)
    await work
    bad = []
    for out in answers:
        if out["status"] != 200 or not out["complete"]:
            continue
        whole = b"".join(f.Runner.event(out["id"], n) for n in range(1, EVENTS + 1))
        if out["body"] != whole:
            seen = re.findall(rb"^id: (\d+)$", out["body"], re.M)
            bad.append("%s: a 200 that looks complete holds events 1 to %s of %d and "
                       "then: %r" % (out["id"], seen[-1].decode() if seen else "none",
                                     EVENTS, out["body"][-40:].decode()))
    text = "streams %d, status 200 and complete %d, of these wrong %d" % (
        len(answers), sum(o["status"] == 200 and o["complete"] for o in answers), len(bad))
    print(text)
    fleet.record.add(text)
    return ["MIXED, ORDER: " + it for it in bad]


f.main(case)
