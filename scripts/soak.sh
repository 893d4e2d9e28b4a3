#!/usr/bin/env bash
# Soaks fleets of real gateways with the seeds $SEEDS (such as 7 or 1-50, separated
# by commas), by default those in scripts/soak-seeds.txt, which have failed before.
# Writes the reports and logs of each seed to out/soak. $TROUBLE is the period
# in which events start and end, $JOBS the number of concurrent fleets, $GATEWAYS
# the number of gateways per fleet, and $CALLERS the number of callers per fleet.
set -euo pipefail
cd "$(dirname "$0")/.."
seeds=${SEEDS:-$(grep -oE '^[0-9]+' scripts/soak-seeds.txt | paste -sd,)}
mkdir -p bin
go build -o bin/ ./cmd/chivespoold ./cmd/chivessoak
exec bin/chivessoak --seeds "$seeds" --trouble "${TROUBLE:-12s}" --jobs "${JOBS:-4}" --gateways "${GATEWAYS:-5}" \
  --callers "${CALLERS:-20}"
