#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts. They use the standard library and this module's own packages only.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-standin ./review/_standin
