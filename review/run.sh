#!/bin/bash
# Plays the case whose number is given; see standin/main.go for the exit codes.
cd "$(dirname "$0")/.." || exit 2
if [ ! -x target/kw-node ] || [ ! -x target/review-standin ]; then
	echo "couldn't run: build the deploy file and review/build.sh first"
	exit 2
fi
exec target/review-standin -case "$1" -dir "review/$1"
