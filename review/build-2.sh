#!/usr/bin/env bash
# Prepares the cases 6 to 9: their stand-ins are Python programs of the
# standard library, so this checks that they compile, and that the program
# which the deploy file builds is there.
set -euo pipefail
cd "$(dirname "$0")/.."
for file in review/standins-2/*.py review/{6,7,9}/case.py; do
  python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file"
done
test -x target/bin/chivecrank_instance || {
  echo "target/bin/chivecrank_instance is missing: run the build of deploy/system.toml first" >&2
  exit 1
}
