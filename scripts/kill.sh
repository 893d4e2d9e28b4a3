#!/usr/bin/env bash
# Kills one process of each kind under load with SIGKILL and starts it again.
# No accepted configuration may be lost, no request run twice that must not, no
# answer be cut, doubled or wrong, and the next requests must all be answered.
set -euo pipefail
source "$(dirname "$0")/fleet.sh"

victims=${VICTIMS:-"store host-list backend-tile entry-nairobi-a entry-coast-a"}

# revision prints the revision in force at the entry host $1.
revision() { entry=$1 operate_as chipo show configuration | awk '$1 == "revision" {print $2}'; }

# check_revisions wants revision $1 in force at every entry host.
check_revisions() {
  local address found
  for address in "${entries[@]}"; do
    found=$(revision "$address") || found="no answer"
    if [ "$found" != "$1" ]; then
      echo "FAILED: $address has revision $found, not $1" >&2
      status=1
    fi
  done
  echo "revision $1 was in force before"
}

make -s build
guard
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
  echo "no configuration was lost, nothing ran twice, and the next requests succeeded"
else
  echo "FAILED; see above and $run" >&2
fi
