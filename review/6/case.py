"""One router stands still while runners are brittle; the other routers crash."""

import asyncio
import os
import random
import signal
import sys

sys.dont_write_bytecode = True
HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "harness-2"))
import lab as L  # noqa: E402

ROUTERS = 3
FROZEN = 0
FREEZE_S = 4.0
RUNNERS = 5
SLOTS = 6
WORK_S = 0.3
BRITTLE = 3
CONNECTIONS = 25       # kept connections of clients to each router
PAUSE_S = 0.8          # of a client between an answer and its next request
MAX_LOST = 3           # LOST: "more than three times"


async def play(lab):
    random.seed(53)
    lab.add_routers(ROUTERS)
    passed_on = {}
    brittle_since = [None]
    ends = []

    async def behave(request, writer):
        runner = request.runner
        passed_on[request.id] = runner.id
        lab.record.note("%s begins at %s" % (request.id, runner.id))
        is_brittle = brittle_since[0] is not None
        extra = [("Server-Brittle", str(BRITTLE))] if is_brittle else []
        if runner.running >= SLOTS + (0 if is_brittle else 4):
            del passed_on[request.id]
            lab.record.note("%s has no room for %s" % (runner.id, request.id))
            return await runner.reply(writer, request, 503, b"", [("Not-Executed", "1")] + extra)
        runner.running += 1
        try:
            await asyncio.sleep(WORK_S)
        finally:
            runner.running -= 1
        return await runner.serve_ok(request, writer, extra)

    for i in range(RUNNERS):
        lab.add_runner("r%d" % i, "app", behave, slots=SLOTS)
    lab.configure([L.route("u", "/u/", "unsafe", "app", timeout_ms=1500)], ["app"])
    await lab.start()
    asyncio.ensure_future(lab.expire_entries())
    lost, counts = [], {}
    until = L.now() + 16

    async def client(router):
        """Sends one request after another, on one connection while it lasts."""
        await asyncio.sleep(random.random())
        while L.now() < until:
            writer, n = None, 0
            try:
                reader, writer = await asyncio.wait_for(
                    asyncio.open_connection(router.ip, lab.ports["front"]), 1)
                while L.now() < until:
                    n += 1
                    id = lab.new_id()
                    writer.write(L.encode_head("POST /u/x HTTP/1.1", [
                        ("Host", "shop.example"), ("Request-Id", id), ("Deadline-Ms", 1500),
                        ("Authorization", "Bearer key1"), ("Content-Length", 5)]) + b"order")
                    answer = await asyncio.wait_for(lab.read_answer(reader), 8)
                    counts[answer.status] = counts.get(answer.status, 0) + 1
                    lab.record.note("%s answered %d by %s" % (id, answer.status, router.name))
                    if not answer.is_complete:
                        if n > 1 and id in passed_on and router.index != FROZEN:
                            lost.append("%s closed the kept connection of %s, which %s had begun"
                                        % (router.name, id, passed_on[id]))
                        break
                    if (L.field(answer.fields, "connection") or "").lower() == "close":
                        break
                    await asyncio.sleep(PAUSE_S * (0.5 + random.random()))
            except (OSError, asyncio.TimeoutError, ValueError):
                await asyncio.sleep(0.2)
            finally:
                if writer is not None:
                    writer.close()

    async def platform():
        """Starts processes again that have ended."""
        while True:
            for it in lab.routers:
                code = it.process.poll()
                if code is not None:
                    ends.append("%s ended by itself with %d at %.1f s"
                                % (it.name, code, L.now() - lab.record.started))
                    lab.record.note(ends[-1])
                    await asyncio.sleep(0.3)
                    it.start()
            await asyncio.sleep(0.02)

    asyncio.ensure_future(platform())
    clients = [asyncio.ensure_future(client(it)) for it in lab.routers for _ in range(CONNECTIONS)]
    await asyncio.sleep(2)
    brittle_since[0] = L.now()
    lab.record.note("the runners are brittle")
    await asyncio.sleep(5)
    if lab.trouble:
        frozen = lab.routers[FROZEN]
        frozen.signal(signal.SIGSTOP)
        await asyncio.sleep(FREEZE_S)
        frozen.signal(signal.SIGCONT)
    await asyncio.gather(*clients)
    for line in lost:
        lab.record.note(line)
    text = "%d lost, %d ends of processes, answers %s" % (len(lost), len(ends), counts)
    lab.record.note(text)
    print(text)
    return lost + ends if len(lost) > MAX_LOST else []


L.main(play, HERE)
