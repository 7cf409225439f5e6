"""A runner sends bytes that are no answer, without end, in a body."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "harness"))
import fleet as f  # noqa: E402

TROUBLE_S = 12.0
# What a host's link carries: 1,000 Mbit/s. A host has one such answer at a time.
LINK_BYTES_PER_S = 125e6
PIECE = b"x" * (256 << 10)


async def endless(runner, request, writer):
    """A signed answer in chunks whose first chunk never begins: bytes that are
    no answer, until the caller closes."""
    rid = f.field(request["fields"], "Request-Id")
    runner.fleet.record.add("runner %s sends without end for %s" % (runner.name, rid))
    writer.write(runner.head(request, 200, [
        ("Response-Signature", runner.SIGNATURE),
        ("Content-Type", "text/event-stream"),
        ("Transfer-Encoding", "chunked")]))
    sent = 0
    try:
        while True:
            writer.write(PIECE)
            await writer.drain()
            sent += len(PIECE)
            await asyncio.sleep(len(PIECE) / LINK_BYTES_PER_S)
    except ConnectionError:
        pass
    runner.fleet.record.add("runner %s sent %.0f MB for %s before the caller closed"
                            % (runner.name, sent / 1e6, rid))
    return True


async def hold_client(fleet, host, until, answers):
    """Unsafe requests, one after the other, on a kept connection."""
    connection = f.Connection(fleet, host.address("front"))
    while fleet.record.now() < until:
        try:
            if connection.writer is None:
                connection.close()
                connection = f.Connection(fleet, host.address("front"))
                await connection.open()
        except (OSError, asyncio.TimeoutError):
            await asyncio.sleep(0.1)
            continue
        out = await connection.ask("POST", "/hold/1", fleet.next_id(), 1500,
                                   body=b"hold")
        out["host"] = host.name
        answers.append(out)


async def stream_client(fleet, host, until):
    """A stream now and then, each on a connection of its own."""
    number = 0
    while fleet.record.now() < until:
        number += 1
        connection = f.Connection(fleet, host.address("front"))
        try:
            await connection.open()
            await connection.ask(
                "POST", "/once/1", fleet.next_id(), 12000,
                [("Model", "m"), ("Token-Usage", "800,80"),
                 ("Prompt-Prefix", "5c%02x:600,%04x:200" % (number % 7, number))],
                b"ask")
        except (OSError, asyncio.TimeoutError):
            await asyncio.sleep(0.1)
        connection.close()


async def case(new_fleet, trouble):
    fleet = new_fleet()
    await fleet.start()
    await asyncio.sleep(4)  # every host is in touch: over stable_window_ms
    begin = fleet.record.now()
    until = begin + 3 + TROUBLE_S
    answers = []
    tasks = [hold_client(fleet, h, until, answers) for h in fleet.hosts for _ in range(5)]
    tasks += [stream_client(fleet, h, until - 3) for h in fleet.hosts]
    work = asyncio.gather(*tasks)
    await asyncio.sleep(3)
    if trouble:
        fleet.llm[0].trouble = endless
        fleet.record.add("runner %s goes bad" % fleet.llm[0].name)
    await asyncio.sleep(TROUBLE_S)
    fleet.llm[0].trouble = None
    await work
    ends = {h.name: len(h.memory_ends) for h in fleet.hosts}
    peaks = {h.name: round(h.peak_mb) for h in fleet.hosts}
    lost = [a for a in answers
            if a["kept"] and a["status"] is None and "ends" in a.get("end", "")
            and fleet.arrived.get(a["id"])]
    text = ("requests %d; over memory and killed %s; peak MB %s; kept connections closed "
            "without an answer after the request had reached a sound runner: %d"
            % (len(answers), ends, peaks, len(lost)))
    print(text)
    fleet.record.add(text)
    violations = []
    if len(lost) > 3:
        violations.append("LOST: %d requests from kept connections were passed on to "
                          "sound runners and ended without an answer (more than three)"
                          % len(lost))
    return violations


f.main(case)
