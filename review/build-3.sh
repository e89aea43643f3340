#!/usr/bin/env bash
# Builds the stand-ins that the scripts of cases 11 to 15 start, into target/review3.
set -euo pipefail
cd "$(dirname "$0")/.."
for folder in review/1[1-5]/platform; do
  number=${folder%/platform}
  go build -o "target/review3/${number#review/}" "./$folder"
done
