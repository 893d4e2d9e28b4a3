#!/usr/bin/env bash
# Checks that scripts/faults.sh detects each kind of violation: it runs scenes
# with deliberately broken daemons or platform settings, and expects counts above 0.
# The broken daemons are built from a scratch copy of the tree.
set -euo pipefail
cd "$(dirname "$0")/.."

scratch=$(mktemp -d)
trap 'rm -rf "$scratch"' EXIT
export SECONDS_EACH=12 OUT=$scratch/out
status=0

# break_daemon builds a daemon with $2 replaced by $3 in the file $1, and likewise
# for each further group of three arguments. It fails if $2 is not in the file.
break_daemon() {
  rm -rf "$scratch/tree"
  mkdir -p "$scratch/tree"
  cp -r go.mod go.sum cmd internal pkg "$scratch/tree"
  while [ $# -gt 0 ]; do
    grep -qF -- "$2" "$scratch/tree/$1" || { echo "$1 does not contain '$2'; update scripts/faults-broken.sh" >&2; exit 2; }
    OLD=$2 NEW=$3 perl -0pi -e 's/\Q$ENV{OLD}\E/$ENV{NEW}/' "$scratch/tree/$1"
    shift 3
  done
  (cd "$scratch/tree" && go build -o "$scratch/daemon" ./cmd/chivespoold)
  export DAEMON=$scratch/daemon
}

# expect_count runs the scene $1 and fails unless it prints a count $2 above 0.
expect_count() {
  local scene=$1 label=$2 count
  scripts/faults.sh "$scene" >"$scratch/$scene.txt" 2>&1 || true
  count=$(grep -oE "$label [0-9]+" "$scratch/$scene.txt" | awk '{print $NF; exit}')
  echo "$scene, deliberately broken: $label ${count:-not shown}"
  if [ "${count:-0}" -eq 0 ]; then
    cat "$scratch/$scene.txt"
    status=1
  fi
}

serve=internal/acceptor/serve.go
length='if answer.Length() >= 0 {'
no_length='if false {'
attempt=internal/dispatcher/attempt.go

break_daemon $serve "$length" "$no_length" $serve 'if errors.Is(err, io.EOF) {' 'if errors.Is(err, io.EOF) || count > 500 {'
expect_count none cut
break_daemon $serve "$length" "$no_length" $serve 'c.Response().Write(buffer[:count])' \
  'c.Response().Write(append(buffer[:count:count], buffer[:count]...))'
expect_count none doubled
break_daemon $serve 'acceptor.setWriteDeadline(c)' 'buffer[0] ^= 1'
expect_count none wrong
break_daemon $serve 'c.Response().WriteHeader(answer.Status())' \
  'if time.Now().UnixNano()%97 == 0 { <-time.After(time.Minute) }
	c.Response().WriteHeader(answer.Status())'
expect_count none lost
break_daemon $attempt 'return attempts.repeatable || attempts.ran == refuser.NotRun' 'return true'
expect_count crash 'ran twice'
break_daemon internal/refuser/refuser.go 'ran: ran,' 'ran: NotRun,'
expect_count crash 'not run but run'
unset DAEMON
LATE_LAG=60000 expect_count leaving-endpoint 'late'
expect_count wiped 'gone back'
exit $status
