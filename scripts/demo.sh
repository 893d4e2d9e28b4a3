#!/usr/bin/env bash
# Runs chivespool on loopback as separate processes: the emulated store and host
# list, four entry hosts in two regions, and three services of backend servers.
# Operators configure it and callers send a mixed load, while an endpoint is
# drained and an entry host stops. Fails if any response was lost, truncated,
# duplicated or wrong, or if a process did not stop gracefully.
set -euo pipefail
source "$(dirname "$0")/fleet.sh"

seconds=${DEMO_SECONDS:-10}
out=${OUT:-out}

phase() { printf '\n== %s\n' "$*"; }

show_endpoints() {
  local address
  for address in "${admins[@]}"; do $bench endpoints --admin "$address"; done
}

make -s build
set_traps
free_base 80
mkdir -p "$out"

phase "start the platform, ${#services[@]} services of backend servers and ${#places[@]} entry hosts"
make_keys amina ben chipo
start_platform --lag 100ms
start_backends
start_entries
phase "three operators configure the services; amina is the chair, ben votes"
set_up
phase "$seconds s of mixed load; tile-1 is drained, ledger-2 slows down and an entry host stops"
start_load demo --duration "${seconds}s" --out "$out"
sleep $((seconds / 4))
accept "drain endpoint tile-1"
$bench call PUT "http://${admins[1]}/endpoints/ledger-2" '{"run-factor": 8}' >/dev/null
sleep $((seconds / 4))
stop entry-coast-b
end_load demo
phase "distribution of the requests"
show_endpoints
operate_as chipo where tile from nairobi
operate_as chipo why tile-1
phase "the latest events of the timeline"
operate_as chipo time-line | tail -n 25
phase "stop"
stop_all
if [ "$status" -ne 0 ]; then
  echo "demo FAILED; see the output above and the logs in $run" >&2
else
  echo "no response was lost, truncated, duplicated or wrong; all processes stopped gracefully"
fi
