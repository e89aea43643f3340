#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the second review start. The project's
# programs are built by the deploy file's build.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review2 ./review/6/platform
