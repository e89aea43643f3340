#!/usr/bin/env bash
# One of three workers sends a second copy of some answers and bytes without end after it.
# Exits with 1 if an entry node lost requests at sound workers, 0 if not, 2 if the case
# can't run. TROUBLE=0 leaves the trouble out.
set -u
here="$(cd "$(dirname "$0")" && pwd)"
cd "$here/../.." || exit 2
[ -x target/review2 ] && [ -x target/entryd ] && [ -x target/controld ] || { echo "run the deploy file's build and review/build-2.sh first"; exit 2; }
exec timeout -k 5 110 target/review2 -case flood -programs target -record "$here/record.txt"
