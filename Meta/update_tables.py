#!/usr/bin/env python3
"""Writes docs/RESULT_CODES.md and docs/EVENTS.md from the tables in LibCore."""

import pathlib
import re

ROOT = pathlib.Path(__file__).resolve().parent.parent
CORE = ROOT / "Libraries" / "LibCore"


def numbers(header: str) -> dict[str, int]:
    text = (CORE / header).read_text()
    return {name: int(value) for name, value in re.findall(r"  (k\w+) = (\d+),", text)}


def joined_strings(literals: str) -> str:
    return "".join(re.findall(r'"((?:[^"\\]|\\.)*)"', literals)).replace('\\"', '"')


def result_codes() -> str:
    codes = numbers("result_code.h")
    source = (CORE / "result_code.cc").read_text()
    rows = re.findall(r'\{ResultCode::(k\w+), "(\w+)", (\d+),\s*((?:"[^"]*"\s*)+)\}', source)
    lines = [
        "# Result codes",
        "",
        "Every error carries one of these numbers: in the header `X-Result-Code`, in the body's `error.code`, and in",
        "logs. Codes of the 3xx range but 302 mean that the request did not run. `Meta/update_tables.py` writes this page.",
        "",
        "| code | name | HTTP status | meaning |",
        "| --- | --- | --- | --- |",
    ]
    lines += [f"| {codes[k]} | `{name}` | {http} | {joined_strings(text)} |" for k, name, http, text in rows]
    return "\n".join(lines) + "\n"


def events() -> str:
    codes = numbers("event.h")
    source = (CORE / "event.cc").read_text()
    rows = re.findall(r'\{EventCode::(k\w+), "(\w+)",\s*((?:"[^"]*"\s*)+)\}', source)
    lines = [
        "# Events",
        "",
        "Each process keeps its latest events in a ring, serves them at `GET /v1/events?from=N`, and writes them to its",
        "log. `wasabi_timeline` merges the rings of all processes. `Meta/update_tables.py` writes this page.",
        "",
        "| event | name | meaning |",
        "| --- | --- | --- |",
    ]
    lines += [f"| {codes[k]} | `{name}` | {joined_strings(text)} |" for k, name, text in rows]
    return "\n".join(lines) + "\n"


def main() -> None:
    (ROOT / "docs" / "RESULT_CODES.md").write_text(result_codes())
    (ROOT / "docs" / "EVENTS.md").write_text(events())


if __name__ == "__main__":
    main()
