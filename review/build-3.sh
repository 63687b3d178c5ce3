#!/usr/bin/env bash
# Builds the stand-ins of the cases 9, 10, 12 and 13. The project's programs are built by the build line of
# deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-3/standin3 ./review/_standin3
