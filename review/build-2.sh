#!/usr/bin/env bash
# Builds the stand-ins that the scripts of cases 4 to 8 start. Needs no network once the modules
# are there. Run it after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
go build -o target/review-2 ./review/_standin2
