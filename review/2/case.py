"""The hosts are stopped and started in turn while streams come."""

import asyncio
import os
import random
import signal
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "harness"))
import fleet as f  # noqa: E402

ROLLS_AT_S = (4.0, 24.0, 44.0)
GAP_S = 1.3
END_S = 58.0
GRACE_S = 8.0
# RULES.md: a request that was sent no later than this after the SIGTERM may be
# cut at the end of the grace.
EXCUSED_S = 3.0
DEADLINE_MS = 12000


def events():
    """The sheet's pieces of a stream: 48.6 on average, at most 159."""
    return int(min(159, max(1, random.lognormvariate(3.64, 0.69))))


async def talk(fleet, zone, patient, begin, answers):
    caller = f.Caller(fleet, zone, patient)
    number = random.randrange(1 << 16)
    while fleet.record.now() - begin < END_S:
        connection = await caller.connect()
        if connection is None:
            await asyncio.sleep(0.1)
            continue
        number += 1
        out = await connection.ask(
            "POST", "/once/1", fleet.next_id(), DEADLINE_MS,
            [("Model", "m"), ("Token-Usage", "800,960"),
             ("Prompt-Prefix", "5c%02x:600,%06x:200" % (number % 40, number))], b"ask")
        out["host"] = connection.name
        answers.append(out)
        if out["status"] == 503:
            await asyncio.sleep(float(f.field(out["fields"], "Retry-After") or 0.3))
        elif connection.writer is None:
            caller.drop()
            await asyncio.sleep(0.1)


async def roll(fleet, stops):
    for host in fleet.hosts:
        process = host.process
        host.signal(signal.SIGTERM)
        stops.append({"host": "%s:%d" % host.address("front"), "name": host.name,
                      "at": fleet.record.now()})
        asyncio.get_running_loop().call_later(
            GRACE_S, lambda p=process: p and p.poll() is None and p.kill())
        await asyncio.sleep(GAP_S)


async def case(new_fleet, trouble):
    fleet = new_fleet()
    for runner in fleet.llm:
        runner.events = events
        runner.gap_s = 0.05  # six tokens of 8 ms
        runner.first_event_s = 0.1
    await fleet.start()
    await asyncio.sleep(4)
    begin = fleet.record.now()
    answers, stops = [], []
    work = [asyncio.ensure_future(talk(fleet, h.zone, i % 5 == 0, begin, answers))
            for h in fleet.hosts for i in range(25)]
    for at in ROLLS_AT_S:
        await asyncio.sleep(max(0.0, begin + at - fleet.record.now()))
        if trouble:
            await roll(fleet, stops)
    await asyncio.gather(*work)
    lost = []
    for out in answers:
        for stop in stops:
            late_s = out["sent_at"] - stop["at"]
            # It was taken by the process that got the SIGTERM, passed on to a
            # runner, and ended without a complete answer, which neither the
            # client nor the runner broke off.
            if (out["host"] == stop["host"] and EXCUSED_S < late_s < GRACE_S
                    and fleet.arrived.get(out["id"]) and not out["complete"]
                    and "ends" in out.get("end", "")
                    and out["ended_at"] - stop["at"] < GRACE_S + 1):
                lost.append("%s: sent to %s %.3f s after its SIGTERM, ran at %s, cut "
                            "%.3f s after the SIGTERM with %d bytes" % (
                                out["id"], stop["name"], late_s,
                                fleet.arrived[out["id"]][0],
                                out["ended_at"] - stop["at"], len(out["body"])))
    done = sum(out["complete"] and out["status"] == 200 for out in answers)
    text = "streams %d, complete %d, SIGTERMs %d, lost %d" % (
        len(answers), done, len(stops), len(lost))
    print(text)
    fleet.record.add(text)
    return ["LOST: " + it for it in lost]


f.main(case)
