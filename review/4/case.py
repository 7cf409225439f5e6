"""While the store is down, a runner starts again under its id with another
software version, and then another runner crashes."""

import asyncio
import os
import random
import re
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "harness"))
import fleet as f  # noqa: E402

STORE_DOWN_S = 6.0
RESTART_AT_S = 1.0
RESTART_TAKES_S = 1.5
CRASH_AT_S = 4.0
EVENTS = 60


async def talk(fleet, host, until, answers):
    number = random.randrange(1 << 16)
    connection = f.Connection(fleet, host.address("front"))
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
            [("Model", "m"), ("Token-Usage", "800,360"),
             ("Prompt-Prefix", "5c%02x:600,%06x:200" % (number % 40, number))], b"ask"))
        if answers[-1]["status"] != 200:
            await asyncio.sleep(0.2)
    connection.close()


async def case(new_fleet, trouble):
    fleet = new_fleet(llm=4)
    for runner in fleet.llm:
        runner.events = EVENTS
        runner.gap_s = 0.05
        runner.first_event_s = 0.1
    await fleet.start()
    await asyncio.sleep(4)
    answers = []
    begin = fleet.record.now()
    work = [asyncio.ensure_future(talk(fleet, h, begin + 14, answers))
            for h in fleet.hosts for _ in range(20)]
    await asyncio.sleep(4)
    if trouble:
        start = fleet.record.now()

        async def until(at):
            await asyncio.sleep(max(0.0, start + at - fleet.record.now()))

        fleet.store.down = True
        fleet.record.add("the store is down (silent)")
        await until(RESTART_AT_S)
        await fleet.llm[1].crash()
        await until(RESTART_AT_S + RESTART_TAKES_S)
        await fleet.llm[1].start_again("v2")
        await until(CRASH_AT_S)
        await fleet.llm[0].crash()
        await until(STORE_DOWN_S)
        fleet.store.down = False
        fleet.record.add("the store is back")
        await until(STORE_DOWN_S + 1)
        await fleet.llm[0].start_again("v1")
    await asyncio.gather(*work)
    mixed = []
    for out in answers:
        versions = re.findall(rb"token \d+ (v\d)$", out["body"], re.M)
        if len(set(versions)) > 1:
            mixed.append("%s: %d events of v1 and %d of v2 in one answer (%s)" % (
                out["id"], versions.count(b"v1"), versions.count(b"v2"),
                " then ".join(v.decode() for i, v in enumerate(versions)
                              if i == 0 or versions[i - 1] != v)))
    text = "streams %d, complete %d, of two software versions %d" % (
        len(answers), sum(o["complete"] and o["status"] == 200 for o in answers), len(mixed))
    print(text)
    fleet.record.add(text)
    return ["ORDER: " + it for it in mixed] if len(mixed) > 2 else []


f.main(case)
