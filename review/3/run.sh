#!/usr/bin/env bash
# Plays the case; TROUBLE=0 plays it without the disruption. Exits with 1 if the rule was broken,
# 0 if it held, 2 if the case couldn't run.
cd "$(dirname "$0")/../.." || exit 2
test -x target/review-driver || { echo "run review/build.sh first"; exit 2; }
exec target/review-driver late-beat review/3/record.txt
