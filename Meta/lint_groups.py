#!/usr/bin/env python3
"""Writes source files that hold the text of several files, for the linter.

Most of the linter's time goes into the headers of libraries, which are read
once a file. Files share a group if none uses a private name of another. The
texts are copied: in an included file the compiler does not look for unused
constants.

Usage: lint_groups.py BUILD_DIR OUTPUT_DIR < list of files
Writes OUTPUT_DIR/N.cc, N.flags and N.files, and prints the stems.

Usage: lint_groups.py --locate STEM < output of the linter
Prints the output with the places in STEM.cc named by their own files.
"""

import json
import pathlib
import re
import shlex
import sys

# Bounds the memory that one run of the linter takes.
GROUP_FILES = 8
# Options whose value is the next word.
PAIRED = {"-isystem", "-I", "-include"}

PRIVATE_BLOCK = re.compile(r"^namespace \{$(.*?)^\}  // namespace$", re.M | re.S)
NAME = re.compile(r"^(?=\S)(?!//|\}|#|namespace)[^=({;]*?([A-Za-z_]\w*)\s*"
                  r"(?:\[[^\]]*\]\s*)?(?:\(|=|\{|;|:\s|final\b)", re.M)
MACRO = re.compile(r"^#define (\w+)", re.M)
# Each use of these makes a name of its own.
TEST_MACRO = re.compile(r"^(TEST_CASE|TEMPLATE_TEST_CASE)\b")
MAIN = re.compile(r"^int (main)\(", re.M)
WORD = re.compile(r"\w+")
USING = re.compile(r"^using (?:namespace )?[^;]*;", re.M)


def read_commands(build_dir):
    entries = json.loads((build_dir / "compile_commands.json").read_text())
    return {entry["file"]: entry["command"] for entry in entries}


def flags_of(command):
    words = shlex.split(command)[1:]
    flags, i = [], 0
    while i < len(words):
        if words[i] in PAIRED:
            flags.append((words[i], words[i + 1]))
            i += 2
        else:
            if re.match(r"-(I|D|std|W|f|isystem)", words[i]):
                flags.append((words[i],))
            i += 1
    return flags


def macros_of(flags):
    pairs = [flag[0][2:].partition("=") for flag in flags if flag[0].startswith("-D")]
    return {name: value for name, _, value in pairs}


def private_names(text):
    names = set(MACRO.findall(text)) | set(MAIN.findall(text))
    for block in PRIVATE_BLOCK.findall(text):
        names.update(NAME.findall(USING.sub("", block)))
    return {name for name in names if not TEST_MACRO.match(name)}


def text_of(file):
    text = file.read_text()
    return text if text.endswith("\n") else text + "\n"


def locate(stem, output):
    place = re.compile(re.escape(f"{stem}.cc:") + r"(\d+)")
    files = pathlib.Path(f"{stem}.files").read_text().split("\n")[:-1]

    def own_place(match):
        line = int(match.group(1))
        for file in files:
            count = text_of(pathlib.Path(file)).count("\n")
            if line <= count:
                return f"{file}:{line}"
            line -= count
        return match.group(0)

    return place.sub(own_place, output)


class Group:
    def __init__(self):
        self.files, self.flags, self.macros = [], [], {}
        self.names, self.words = set(), set()

    def takes(self, names, words, macros):
        agrees = all(self.macros.get(name, value) == value for name, value in macros.items())
        is_apart = not self.names & words and not names & self.words
        return len(self.files) < GROUP_FILES and agrees and is_apart

    def add(self, file, flags, names, words, macros):
        self.files.append(file)
        self.flags += [flag for flag in flags if flag not in self.flags]
        self.names |= names
        self.words |= words
        self.macros.update(macros)


def make_groups(files, commands):
    groups = []
    for file in files:
        flags = flags_of(commands.get(str(file), ""))
        text = file.read_text()
        names, words, macros = private_names(text), set(WORD.findall(text)), macros_of(flags)
        # Neighbours share most headers, so the youngest group that fits is best.
        group = next((it for it in reversed(groups) if it.takes(names, words, macros)), None)
        if group is None:
            group = Group()
            groups.append(group)
        group.add(file, flags, names, words, macros)
    return groups


def main():
    if sys.argv[1] == "--locate":
        sys.stdout.write(locate(sys.argv[2], sys.stdin.read()))
        return
    build_dir, output_dir = (pathlib.Path(it).resolve() for it in sys.argv[1:3])
    output_dir.mkdir(parents=True, exist_ok=True)
    commands = read_commands(build_dir)
    files = [pathlib.Path(line.strip()).resolve() for line in sys.stdin if line.strip()]
    for number, group in enumerate(make_groups(files, commands)):
        stem = output_dir / str(number)
        stem.with_suffix(".cc").write_text("".join(text_of(it) for it in group.files))
        words = [word for flag in group.flags for word in flag]
        stem.with_suffix(".flags").write_text("\n".join(words) + "\n")
        stem.with_suffix(".files").write_text("".join(f"{it}\n" for it in group.files))
        print(stem)


if __name__ == "__main__":
    main()
