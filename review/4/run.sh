#!/usr/bin/env bash
# Plays the case; TROUBLE=0 leaves the disruption out. Exits with 1 if the rule was
# broken, 0 if it held, and 2 if the case couldn't run. Writes record.txt.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-platform ] && [ -x target/entryd ] && [ -x target/controld ] || { echo "run the build of deploy/system.toml and review/build.sh first" >&2; exit 2; }
exec target/review-platform left review/4
