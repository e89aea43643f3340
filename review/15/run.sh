#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run.
# TROUBLE=0 plays it without the disruption. Build the programs and review/build-3.sh first.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/entryd ] && [ -x target/controld ] && [ -x target/review3/15 ] || exit 2
exec target/review3/15
