#!/usr/bin/env bash
# Runs chivespool on loopback as separate processes: the stand-ins of the store
# and the host list, four entry hosts in two regions, and three services of
# backend servers. Operators set it up, callers send a mixed load, meanwhile
# an endpoint is drained and an entry host stops. Fails if any answer was lost,
# cut, doubled or wrong, or if a process did not stop gracefully.
set -euo pipefail
source "$(dirname "$0")/fleet.sh"

seconds=${DEMO_SECONDS:-10}
out=${OUT:-out}

phase() { printf '\n== %s\n' "$*"; }

show_work() {
  local address
  for address in "${admins[@]}"; do $bench endpoints --admin "$address"; done
}

make -s build
guard
free_base 80
mkdir -p "$out"

phase "start the platform, ${#services[@]} services of backend servers and ${#places[@]} entry hosts"
make_keys amina ben chipo
start_platform --lag 100ms
start_backends
start_entries
phase "three operators set the services up; amina is the chair, ben votes"
set_up
phase "$seconds s of mixed load; meanwhile tile-1 is drained, ledger-2 turns slow and an entry host stops"
start_load demo --duration "${seconds}s" --out "$out"
sleep $((seconds / 4))
accept "drain endpoint tile-1"
$bench call PUT "http://${admins[1]}/endpoints/ledger-2" '{"run-factor": 8}' >/dev/null
sleep $((seconds / 4))
stop entry-coast-b
end_load demo
phase "where the work went"
show_work
operate_as chipo where tile from nairobi
operate_as chipo why tile-1
phase "the end of the time line"
operate_as chipo time-line | tail -n 25
phase "stop"
stop_all
if [ "$status" -ne 0 ]; then
  echo "the demo FAILED; see above and $run" >&2
else
  echo "no answer was lost, cut, doubled or wrong; all processes stopped gracefully"
fi
