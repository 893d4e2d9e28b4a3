#!/usr/bin/env bash
# Kills one process of each kind under load with SIGKILL and restarts it. No
# accepted configuration may be lost, no request that is not repeatable may run
# twice, no response may be truncated, duplicated or wrong, and all later requests
# must be answered.
set -euo pipefail
source "$(dirname "$0")/fleet.sh"

victims=${VICTIMS:-"store host-list backend-tile entry-nairobi-a entry-coast-a"}

# revision prints the revision in force at the entry host $1.
revision() { entry=$1 operate_as chipo show configuration | awk '$1 == "revision" {print $2}'; }

# check_revisions fails unless revision $1 is in force at every entry host.
check_revisions() {
  local address found
  for address in "${entries[@]}"; do
    found=$(revision "$address") || found="no answer"
    if [ "$found" != "$1" ]; then
      echo "FAILED: $address has revision $found, want $1" >&2
      status=1
    fi
  done
  echo "revision before the kill: $1"
}

make -s build
set_traps
free_base 80
make_keys amina ben chipo
start_platform --lag 100ms
start_backends
start_entries
set_up >/dev/null
sleep 2
for victim in $victims; do
  printf '\n== kill %s\n' "$victim"
  before=$(revision "$entry")
  start_load "kill-$victim" --duration 6s --faults
  sleep 2
  kill_process "$victim"
  sleep 1
  restart "$victim"
  end_load "kill-$victim"
  sleep 4
  check_revisions "$before"
  start_load "after-$victim" --duration 2s --all-answered
  end_load "after-$victim"
done
stop_all
if [ "$status" -eq 0 ]; then
  echo "no configuration was lost, no request ran twice, and later requests succeeded"
else
  echo "FAILED; see the output above and the logs in $run" >&2
fi
