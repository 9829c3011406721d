#!/usr/bin/env bash
# Plays the case; see claim.txt. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-3 ] || { echo "run review/build-3.sh first" >&2; exit 2; }
exec target/review-3 moved-flow review/15/record.txt
