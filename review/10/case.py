"""All routers are killed while runners turn requests away: each new process repeats
as much as if the one before it had repeated nothing."""

import asyncio
import os
import random
import sys

sys.dont_write_bytecode = True
HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "harness-2"))
import lab as L  # noqa: E402

ROUTERS = 2
RUNNERS = 4
PER_S = 20
GREY_SHARE = 0.45      # of the requests that a runner turns away
GREY_S = 4.0           # twice
KILL = os.environ.get("KILL", "1") != "0"
RATIO = L.BOUNDS["retry_budget_ratio"]
SLACK = L.BOUNDS["budget_slack"]
WINDOW_S = L.BOUNDS["budget_window_s"]


def worst_window(repeats, sent):
    """Returns (excess, repeats, allowed) of the window that exceeds the budget most."""
    worst = (-SLACK, 0, SLACK)
    for at in repeats:
        n = sum(1 for it in repeats if at <= it < at + WINDOW_S)
        requests = max(sum(1 for it in sent if at - back <= it < at - back + WINDOW_S)
                       for back in (0, WINDOW_S / 2, WINDOW_S))
        allowed = RATIO * requests + SLACK
        worst = max(worst, (n - allowed, n, allowed))
    return worst


async def play(lab):
    random.seed(53)
    lab.add_routers(ROUTERS)
    is_grey = [False]
    seen, repeats, sent = set(), [], []

    async def behave(request, writer):
        lab.record.note("%s reaches %s" % (request.id, request.runner.id))
        if request.id in seen:
            repeats.append(L.now())
        seen.add(request.id)
        if is_grey[0] and random.random() < GREY_SHARE:
            return await request.runner.reply(writer, request, 503, b"", [("Not-Executed", "1")])
        await asyncio.sleep(0.015)
        return await request.runner.serve_ok(request, writer)

    for i in range(RUNNERS):
        lab.add_runner("r%d" % i, "app", behave, slots=6)
    lab.configure([L.route("a", "/a/", "safe", "app")], ["app"])
    await lab.start()
    asyncio.ensure_future(lab.expire_entries())
    counts = {}

    async def one():
        sent.append(L.now())
        answer = await lab.call(random.choice(lab.routers), "GET", "/a/x")
        lab.record.note("%s answered %d" % (answer.id, answer.status))
        counts[answer.status] = counts.get(answer.status, 0) + 1

    async def disrupt():
        await asyncio.sleep(5)
        for spell in range(2):
            lab.record.note("all runners turn away a share of %g" % GREY_SHARE)
            is_grey[0] = True
            await asyncio.sleep(GREY_S)
            is_grey[0] = False
            lab.record.note("the runners are sound")
            if spell == 0 and KILL:
                for it in lab.routers:
                    it.kill()
                await asyncio.sleep(0.3)
                for it in lab.routers:
                    it.start()
                for it in lab.routers:
                    await it.wait_ready()
            elif spell == 0:
                await asyncio.sleep(1)

    if lab.trouble:
        asyncio.ensure_future(disrupt())
    calls, until = [], L.now() + 18
    while L.now() < until:
        calls.append(asyncio.ensure_future(one()))
        await asyncio.sleep(1 / PER_S)
    await asyncio.gather(*calls)
    excess, n, allowed = worst_window(repeats, sent)
    text = ("%d repeats in some %g s, %.1f allowed, answers %s"
            % (n, WINDOW_S, allowed, counts))
    lab.record.note(text)
    print(text)
    return [text] if excess > 0 else []


L.main(play, HERE)
