#!/usr/bin/env bash
# Plays this case: exit 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 plays it without the
# disruption.
here="$(cd "$(dirname "$0")" && pwd)"
cd "$here/../.." || exit 2
[ -x target/kw-node ] && [ -x target/review-standin-3 ] || exit 2
exec timeout --preserve-status 118 target/review-standin-3 pending "$here/record.txt"
