#!/usr/bin/env bash
# Builds the stand-ins of review/6 to review/10 into target/, beside the programs of the
# deploy file. Run it after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
go build -tags review2 -o target/review-standin2 ./review/standin2
