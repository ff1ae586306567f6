#!/usr/bin/env bash
# Runs the case on loopback and writes record.txt beside this file. Exits with
# 1 if the rule was broken, 0 if it held and 2 if the case couldn't run. With
# TROUBLE=0 it leaves the disruption out. Needs the build of the deploy file and
# review/build-3.sh.
cd "$(dirname "$0")/../.." || exit 2
program=target/review-3/standins
[ -x "$program" ] && [ -x target/bin/chivecrank_instance ] || exit 2
timeout --kill-after=1 115 "$program" cancel-while-in-doubt review/13/record.txt
code=$?
[ "$code" -le 1 ] || code=2
exit "$code"
