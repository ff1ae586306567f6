"""Runs the benchmarks behind docs/CAPACITY.md and rewrites its tables.

A table stands between <!-- table NAME --> and <!-- end -->; the line above it
names the command that gave it.
"""

import json
import pathlib
import re
import subprocess
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
PAGE = ROOT / "docs" / "CAPACITY.md"
WORKERS = (50, 250, 950, 2000)
INSTANCES = (7, 60)


def bench(*flags):
    """The JSON lines of one benchmark."""
    run = subprocess.run(["scripts/bench", *flags, "--json"], cwd=ROOT,
                         capture_output=True, text=True)
    lines = [json.loads(line) for line in run.stdout.splitlines()
             if line.startswith("{")]
    if not lines:
        sys.exit(f"scripts/bench {' '.join(flags)} gave no figures:\n"
                 f"{run.stderr[-2000:]}")
    return lines


def table(columns, rows):
    """A Markdown table; columns are (heading, key, digits)."""
    text = "| " + " | ".join(heading for heading, _, _ in columns) + " |\n"
    text += "|" + "---:|" * len(columns) + "\n"
    for row in rows:
        cells = [f"{row.get(key, float('nan')):.{digits}f}"
                 for _, key, digits in columns]
        text += "| " + " | ".join(cells) + " |\n"
    return text


def control():
    rows = [line for workers in WORKERS
            for line in bench("--suite", "control", "--workers", str(workers))]
    return table((("workers", "workers", 0), ("tasks", "tasks", 0),
                  ("us/placement", "us_per_placement", 0),
                  ("core %", "core_percent", 2), ("MB", "memory_mb", 0),
                  ("B/s", "bytes_per_s", 0),
                  ("of it to agents", "agent_bytes_per_s", 0),
                  ("of it to the store", "store_bytes_per_s", 0),
                  ("store writes/s, all", "store_writes_per_s", 0),
                  ("store reads/s, all", "store_reads_per_s", 0)), rows)


def configuration():
    rows = [line for instances in INSTANCES
            for line in bench("--suite", "configuration", "--instances",
                              str(instances))]
    keys = [key for key, value in rows[0].items()
            if isinstance(value, (int, float))]
    return table([(key.replace("_", " "), key, 2) for key in keys], rows)


TABLES = {"control": control, "configuration": configuration}


def main():
    page = PAGE.read_text()
    wanted = sys.argv[1:] or list(TABLES)
    for name in wanted:
        pattern = re.compile(rf"(<!-- table {name} -->\n).*?(<!-- end -->)",
                             re.S)
        measured = TABLES[name]()
        page = pattern.sub(lambda match: match[1] + measured + match[2], page)
        PAGE.write_text(page)
        print(measured)


if __name__ == "__main__":
    main()
