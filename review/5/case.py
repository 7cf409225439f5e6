"""A prompt part crashes runners; all hosts are killed; the part comes again."""

import asyncio
import os
import random
import signal
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "harness"))
import fleet as f  # noqa: E402

STABLE_WINDOW_S = 3.0
HARMFUL = "bad0c0de"
# Three requests with the part, one at each host, every so often.
EVERY_S = 5.0
BEFORE_KILL = 3  # of these bursts
AFTER_KILL = 2
RUNNER_BACK_S = 2.5


class Watch:
    def __init__(self):
        self.crashes = []
        self.arrivals = []


def harmful_part(watch):
    async def trouble(runner, request, writer):
        parts = f.field(request["fields"], "Prompt-Prefix") or ""
        if HARMFUL not in parts:
            return False
        rid = f.field(request["fields"], "Request-Id")
        watch.arrivals.append((runner.fleet.record.now(), rid))
        await asyncio.sleep(runner.first_event_s)
        if writer.is_closing():
            return True
        # It begins to write an answer on the part.
        watch.crashes.append(runner.fleet.record.now())
        await runner.crash()

        async def back():
            await asyncio.sleep(RUNNER_BACK_S)
            await runner.start_again("v1")

        asyncio.ensure_future(back())
        return True

    return trouble


def prompt(number, harmful):
    middle = "%s:300," % HARMFUL if harmful else ""
    return "5c%02x:600,%s%08x:200" % (number % 3, middle, random.getrandbits(32))


async def ask_once(fleet, host, number, harmful, answers):
    # Harmful requests come on the route that the host may repeat, sound ones on
    # the other, so that a stream whose runner crashes is lost.
    target = "/stream/1" if harmful else "/once/1"
    connection = f.Connection(fleet, host.address("front"))
    try:
        await connection.open()
        out = await connection.ask(
            "POST", target, fleet.next_id(), 12000,
            [("Model", "m"), ("Token-Usage", "1100,60"),
             ("Prompt-Prefix", prompt(number, harmful))], b"ask %d" % number)
        answers.append(out)
    except (OSError, asyncio.TimeoutError):
        await asyncio.sleep(0.1)
    connection.close()


async def talk(fleet, host, until, answers):
    number = random.randrange(1 << 16)
    while fleet.record.now() < until[0]:
        number += 1
        await ask_once(fleet, host, number, False, answers)


async def case(new_fleet, trouble):
    fleet = new_fleet(llm=9)
    watch = Watch()
    for runner in fleet.llm:
        runner.events = 20
        runner.gap_s = 0.04
        runner.first_event_s = 0.1
        runner.trouble = harmful_part(watch)
    await fleet.start()
    await asyncio.sleep(4)
    answers, harmful, until = [], [], [float("inf")]
    work = [asyncio.ensure_future(talk(fleet, h, until, answers))
            for h in fleet.hosts for _ in range(4)]
    await asyncio.sleep(3)

    async def burst(number):
        fleet.record.add("three requests with the part %s" % HARMFUL)
        await asyncio.gather(*(ask_once(fleet, h, 3 * number + i, True, harmful)
                               for i, h in enumerate(fleet.hosts)))

    async def bursts(first, count):
        for number in range(first, first + count):
            start = fleet.record.now()
            await burst(number)
            await asyncio.sleep(max(0.0, start + EVERY_S - fleet.record.now()))

    await bursts(0, BEFORE_KILL)
    killed_at = fleet.record.now()
    if trouble:
        for host in fleet.hosts:
            host.signal(signal.SIGKILL)
        await asyncio.sleep(0.5)
        await fleet.until_ready()
    in_touch_at = fleet.record.now() + STABLE_WINDOW_S
    await asyncio.sleep(STABLE_WINDOW_S + 0.5)
    await bursts(BEFORE_KILL, AFTER_KILL)
    until[0] = fleet.record.now()
    await asyncio.gather(*work)
    # The rule's count: arrivals later than stable_window_ms after the fifth
    # crash, sent by machines that are in touch.
    counted = []
    if len(watch.crashes) >= 5:
        start = watch.crashes[4] + STABLE_WINDOW_S
        counted = [(at, rid) for at, rid in watch.arrivals
                   if at > start and not (trouble and killed_at < at < in_touch_at)]
    cut = [a for a in answers if not a["complete"]
           and any(at <= a["ended_at"] < at + 0.1 for at in watch.crashes if at > in_touch_at)]
    text = ("crashes %d, arrivals with the part %d, of these counted by the rule %d; sound "
            "streams %d, of these lost to crashes after the hosts were in touch again %d" % (
                len(watch.crashes), len(watch.arrivals), len(counted), len(answers),
                len(cut)))
    print(text)
    fleet.record.add(text)
    for at, rid in counted:
        fleet.record.add("counted: %s at %.3f" % (rid, at))
    if len(counted) > 3:
        return ["BUDGET: %d requests with a part that crashes runners reached runners later "
                "than stable_window_ms after the fifth crash (more than three)" % len(counted)]
    return []


f.main(case)
