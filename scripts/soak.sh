#!/usr/bin/env bash
# Soaks fleets of real gateways: the seeds of $SEEDS (as 7 or 1-50, with commas
# between), or else those of scripts/soak-seeds.txt, which failed once. Reports
# and logs of each seed go to out/soak. $TROUBLE is how long events go on, $JOBS
# how many fleets run at once, $GATEWAYS how many gateways each has.
set -euo pipefail
cd "$(dirname "$0")/.."
seeds=${SEEDS:-$(grep -oE '^[0-9]+' scripts/soak-seeds.txt | paste -sd,)}
mkdir -p bin
go build -o bin/ ./cmd/chivespoold ./cmd/chivessoak
exec bin/chivessoak --seeds "$seeds" --trouble "${TROUBLE:-12s}" --jobs "${JOBS:-4}" --gateways "${GATEWAYS:-5}" \
  --callers "${CALLERS:-20}"
