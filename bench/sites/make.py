#!/usr/bin/env python3
"""Makes site files from a users' site file: other seeds, other sizes, other loads.

    make.py SOURCE TARGET [--name NAME] [--days DAY,...] [--seeds N,...] [KEY=VALUE | KEY*FACTOR] ...

TARGET is a path outside the repository; the table of messages that SOURCE names is
copied beside it. Each day that is kept is repeated for each seed, under the name
DAY-SEED. Without --seeds it keeps its own. `--days none` leaves all days out.

KEY is the name of a figure, with the name of its kind of request, service or table
before it where that is needed: `order-watch.target_x=3`, `order-watch.cpu.mean*0.5`,
`node.cpu*0.75`, `gang_ms=4000`. Every place that fits is changed, and a key that fits
no place is an error.
"""

import argparse
import re
import shutil
import sys
from pathlib import Path

CHANGE = re.compile(r"([\w.-]+)([=*])(.+)")
# Figures that stand for whole things.
WHOLE = {"cpu", "mem_mb", "count", "deadline_ms", "fds", "memory_mb"}


def parse_args():
    parser = argparse.ArgumentParser(description=__doc__.split("\n")[0])
    parser.add_argument("source", type=Path)
    parser.add_argument("target", type=Path)
    parser.add_argument("--name")
    parser.add_argument("--days")
    parser.add_argument("--seeds")
    parser.add_argument("changes", nargs="*")
    return parser.parse_intermixed_args()


def split_days(text):
    """The part of a site file before its days, and the days."""
    head, *days = re.split(r"(?m)^(?=\[\[day\]\]$)", text)
    return head, days


def day_name(day):
    return re.search(r'(?m)^name = "([^"]+)"', day).group(1)


def keep_days(days, names, seeds):
    """The days with these names, once for each seed."""
    known = [day_name(day) for day in days]
    for name in names or []:
        if name not in known:
            sys.exit(f"no day {name}; there are {', '.join(known)}")
    kept = [day for day in days if names is None or day_name(day) in names]
    if not seeds:
        return kept
    return [reseed(day, seed) for day in kept for seed in seeds]


def reseed(day, seed):
    name = f"{day_name(day)}-{seed}"
    day = re.sub(r'(?m)^name = "[^"]+"', f'name = "{name}"', day, count=1)
    return re.sub(r"(?m)^seed = \d+", f"seed = {seed}", day, count=1)


def set_figure(line, path, sign, value):
    """Changes the figure at `path` in one line; the line and how often it was there."""
    *tables, key = path
    for table in tables:
        place = re.search(rf'(?:"{re.escape(table)}"|\b{re.escape(table)} = \{{)', line)
        if not place:
            return line, 0
        start = place.end()
        changed, count = set_figure(line[start:], [key], sign, value)
        return line[:start] + changed, count
    place = re.compile(rf"(?<![\w-]){re.escape(key)} = ([\d.]+|true|false|\"[^\"]*\")(?=[,}}\s]|$)")
    count = 0

    def change(found):
        nonlocal count
        count += 1
        return f"{key} = {new_value(key, found.group(1), sign, value)}"

    return place.sub(change, line, count=1 if tables else 0), count


def new_value(key, old, sign, value):
    if sign == "=":
        return value
    scaled = float(old) * float(value)
    return str(round(scaled)) if key in WHOLE and "." not in old else f"{scaled:.6g}"


def apply_change(text, change):
    """Applies one change to every line that it fits."""
    parsed = CHANGE.fullmatch(change)
    if not parsed:
        sys.exit(f"not KEY=VALUE or KEY*FACTOR: {change}")
    path, sign, value = parsed.group(1).split("."), parsed.group(2), parsed.group(3)
    lines, total = [], 0
    for line in text.split("\n"):
        first, *rest = path
        if rest and f'name = "{first}"' in line:
            line, count = set_figure(line, rest, sign, value)
        else:
            line, count = set_figure(line, path, sign, value)
        lines.append(line)
        total += count
    if total == 0:
        sys.exit(f"fits no figure: {change}")
    return "\n".join(lines)


def main():
    args = parse_args()
    head, days = split_days(args.source.read_text())
    names = args.days.split(",") if args.days else None
    if names == ["none"]:
        names = []
    seeds = [int(seed) for seed in args.seeds.split(",")] if args.seeds else []
    text = head + "".join(keep_days(days, names, seeds))
    for change in args.changes:
        text = apply_change(text, change)
    if args.name:
        text = re.sub(r'(?m)^name = "[^"]+"', f'name = "{args.name}"', text, count=1)
    args.target.parent.mkdir(parents=True, exist_ok=True)
    args.target.write_text(text)
    wire = re.search(r'(?m)^wire = "([^"]+)"', text)
    if wire:
        shutil.copy(args.source.parent / wire.group(1), args.target.parent / wire.group(1))


if __name__ == "__main__":
    main()
