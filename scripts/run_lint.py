"""Runs clang-tidy on the files that changed since they last passed."""

import concurrent.futures
import hashlib
import os
import pathlib
import re
import subprocess
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
BUILD = ROOT / os.environ.get("BUILD_DIR", "build")
STAMPS = BUILD / "lint"


def project_headers():
    """{source path: its headers in this project}, from the last build."""
    text = subprocess.run(["ninja", "-C", str(BUILD), "-t", "deps"],
                          capture_output=True, text=True, check=True).stdout
    headers = {}
    for block in text.split("\n\n"):
        paths = [(BUILD / line.strip()).resolve()
                 for line in block.splitlines()[1:]]
        own = [path for path in paths if path.is_relative_to(ROOT)]
        if own:
            headers.setdefault(own[0], set()).update(own)
    return headers


def checksum(source, headers):
    total = hashlib.sha256((ROOT / ".clang-tidy").read_bytes())
    for path in sorted(headers.get(source, set()) | {source}):
        total.update(path.read_bytes())
    return total.hexdigest()


def lint(source, headers):
    """Returns what clang-tidy found, or an empty text."""
    stamp = STAMPS / str(source.relative_to(ROOT)).replace("/", "_")
    wanted = checksum(source, headers)
    if stamp.exists() and stamp.read_text() == wanted:
        return ""
    run = subprocess.run(["clang-tidy", "--quiet", "-p", str(BUILD),
                          str(source)], capture_output=True, text=True)
    if run.returncode == 0:
        stamp.write_text(wanted)
        return ""
    return run.stdout or f"{source}: clang-tidy failed\n{run.stderr}"


def main():
    pattern = re.compile(sys.argv[1] if len(sys.argv) > 1 else ".")
    listed = subprocess.run(["scripts/sources", r"\.cc$"], cwd=ROOT,
                            capture_output=True, text=True, check=True).stdout
    sources = [ROOT / name for name in listed.split() if pattern.search(name)]
    STAMPS.mkdir(parents=True, exist_ok=True)
    headers = project_headers()
    jobs = int(os.environ.get("LINT_JOBS", os.cpu_count()))
    with concurrent.futures.ThreadPoolExecutor(jobs) as pool:
        found = [text for text in
                 pool.map(lambda source: lint(source, headers), sources)
                 if text]
    print("".join(found), end="")
    return 1 if found else 0


if __name__ == "__main__":
    sys.exit(main())
