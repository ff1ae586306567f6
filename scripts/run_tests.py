"""Runs the test programs of a build folder and counts their test cases.

Prints each failure, then "N passed, N failed". A failed case that
KNOWN-RED.txt lists is printed as known and not counted; an entry's first
field is PROGRAM:SUITE/CASE.
"""

import argparse
import json
import os
import pathlib
import re
import subprocess
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
CASE_COUNT = re.compile(r"Running (\d+) test cases?")
# CTest cuts longer outputs, and with them the line that counts the cases.
OUTPUT_BYTES = str(64 << 20)
# Missing when a program crashed or ran into its time limit.
CLOSING = re.compile(r"\*\*\* (No errors|\d+ failures?)")
FAILED_CASE = re.compile(r'error: in "([^"]+)"')


def known_red():
    path = ROOT / "KNOWN-RED.txt"
    if not path.exists():
        return set()
    lines = path.read_text().splitlines()
    return {line.split("|")[0].strip() for line in lines
            if line.strip() and not line.startswith("#")}


def run_ctest(build, label):
    """Runs CTest and returns {program: (exited cleanly, output)}."""
    junit = build / "tests.xml"
    junit.unlink(missing_ok=True)
    command = ["ctest", "--test-dir", str(build), "-j",
               os.environ.get("JOBS", str(os.cpu_count())),
               "--output-junit", str(junit), "--quiet",
               "--test-output-size-passed", OUTPUT_BYTES,
               "--test-output-size-failed", OUTPUT_BYTES]
    if label:
        command += ["-L", label]
    subprocess.run(command, check=False)
    import xml.etree.ElementTree as tree
    results = {}
    for case in tree.parse(junit).getroot().iter("testcase"):
        output = case.findtext("system-out") or ""
        results[case.get("name")] = (case.get("status") == "run", output)
    return results


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--build", default="build")
    parser.add_argument("--label", default="", help="unit or integration")
    arguments = parser.parse_args()
    known = known_red()
    passed = failed = 0
    for program, (clean, output) in sorted(
            run_ctest(ROOT / arguments.build, arguments.label).items()):
        counted = CASE_COUNT.search(output)
        cases = int(counted.group(1)) if counted else 0
        broken = {f"{program}:{name}" for name in FAILED_CASE.findall(output)}
        unknown = broken - known
        for name in sorted(broken & known):
            print(f"known red: {name}")
        # One that counted no cases ran none.
        crashed = ((not clean and not broken) or not counted
                   or not CLOSING.search(output))
        if unknown or crashed:
            print(f"--- {program} failed\n{output}")
        failed += len(unknown) + (1 if crashed else 0)
        passed += max(0, cases - len(broken) - (1 if crashed else 0))
    print(f"{passed} passed, {failed} failed")
    return 1 if failed or passed == 0 else 0


if __name__ == "__main__":
    sys.exit(main())
