#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves out the disruption.
here="$(cd "$(dirname "$0")" && pwd)"
cd "$here/../.." || exit 2
[ -x target/review-standin ] || review/build.sh || exit 2
[ -x target/amberwayd ] || { echo "target/amberwayd is not built" >&2; exit 2; }
exec target/review-standin cuts "$here/record.txt"
