#!/usr/bin/env bash
# Checks that the stand-ins of the cases can run. They are Python programs (the
# package python3, standard library only), so nothing is compiled. Each run.sh
# starts target/bin/chivecrank_instance, which the build of the deploy file makes.
set -euo pipefail
cd "$(dirname "$0")"
for program in standins/*.py [1-5]/*.py more/*/*.py; do
  python3 -B -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$program"
done
echo "the stand-ins are ready"
