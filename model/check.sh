#!/usr/bin/env bash
# Checks the specifications with Spin: each property must hold in all states within
# the bounds, and each seeded fault must be found. Prints the state counts. Needs
# spin and a C compiler.
set -euo pipefail
model="$(cd "$(dirname "$0")" && pwd)"
# memory_limit is the memory limit of one check in MB.
memory_limit=2500
work="$(mktemp -d)"
trap 'rm -rf "$work"' EXIT

# search NAME OPTIONS... builds and runs the checker of the specification NAME.
search() {
  local name="$1"
  shift
  cd "$work"
  rm -f pan* ./*.trail
  cp "$model/$name.pml" .
  spin -a "$@" "$name.pml" >build.txt
  cc "$optimise" -w -DSAFETY -DCOLLAPSE -DMEMLIM="$memory_limit" -o pan pan.c
  ./pan -m1000000 >result.txt || true
}

# counts prints the state count, transition count and memory of the last search.
counts() {
  awk '/states, stored/ {states = $1} /transitions \(/ {steps = $1} /total actual memory/ {memory = $1}
    END {printf "%d states, %d transitions, %d MB", states, steps, memory}' "$work/result.txt"
}

# holds NAME OPTIONS... fails unless the search is complete and finds no error.
holds() {
  optimise=-O2
  search "$@"
  if grep -q "errors: 0" "$work/result.txt" && ! grep -Eq "error: max search depth|reached -DMEMLIM" "$work/result.txt"; then
    echo "holds:  $* ($(counts))"
    return
  fi
  echo "FAILED: $*"
  grep -v unreached "$work/result.txt" | head -20
  exit 1
}

# caught NAME FAULT OPTIONS... fails unless the checker finds a property violation.
caught() {
  optimise=-O0
  search "$@"
  if grep -q "assertion violated" "$work/result.txt"; then
    echo "caught: $* ($(counts))"
    grep -m1 -o "assertion violated .*" "$work/result.txt" | cut -c 1-100
    return
  fi
  echo "FAILED: the checker does not find the fault: $*"
  grep -v unreached "$work/result.txt" | head -20
  exit 1
}

holds claims -DATTEMPTS=2 -DLOSSES=2 -DOUTAGES=1 -DCRASHES=1
holds claims -DATTEMPTS=3 -DFORWARDS=1 -DLOSSES=1 -DOUTAGES=1 -DCRASHES=0
for fault in NO_FENCE RETRY_PAST_COMMIT OWNER_RELEASES LOST_REPLY_IS_GRANT NOT_RUN_AFTER_SEND; do
  caught claims "-D$fault" -DATTEMPTS=2 -DLOSSES=2 -DOUTAGES=1 -DCRASHES=1
done
caught claims -DANY_ID_SETTLES -DATTEMPTS=3 -DFORWARDS=1 -DLOSSES=1 -DOUTAGES=1 -DCRASHES=0
holds committee -DLOSSES=2 -DNO_FOLLOWERS
holds committee -DLOSSES=0 -DFETCHES=2
for fault in NO_FENCE FIRST_WRITER_WINS REPEAT_WITHOUT_ID LOST_REPLY_IS_NOT_ACCEPTED; do
  caught committee "-D$fault" -DLOSSES=1 -DNO_FOLLOWERS
done
caught committee -DACCEPT_LOWER -DLOSSES=0 -DFETCHES=2
