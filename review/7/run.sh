#!/bin/bash
# Plays case 7; see review/standin-2/main.go for the exit codes. TROUBLE=0 plays it without the disruption.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/kw-node ] || [ ! -x target/review-standin-2 ]; then
	echo "couldn't run: build the deploy file and review/build-2.sh first"
	exit 2
fi
exec target/review-standin-2 -case 7 -dir review/7
