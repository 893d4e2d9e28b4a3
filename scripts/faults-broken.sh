#!/usr/bin/env bash
# Shows that each count of scripts/faults.sh can be other than 0: it plays
# scenes with daemons, or settings of the platform, that are broken on purpose.
# The broken daemons are built from a scratch copy of the tree.
set -euo pipefail
cd "$(dirname "$0")/.."

scratch=$(mktemp -d)
trap 'rm -rf "$scratch"' EXIT
export SECONDS_EACH=12 OUT=$scratch/out
status=0

# break_daemon builds a daemon in which $3 stands in place of $2 in the file $1;
# it fails where $2 is not there.
break_daemon() {
  rm -rf "$scratch/tree"
  mkdir -p "$scratch/tree"
  cp -r go.mod go.sum cmd internal pkg "$scratch/tree"
  while [ $# -gt 0 ]; do
    grep -qF -- "$2" "$scratch/tree/$1" || { echo "$1 has no '$2'; adapt scripts/faults-broken.sh" >&2; exit 2; }
    OLD=$2 NEW=$3 perl -0pi -e 's/\Q$ENV{OLD}\E/$ENV{NEW}/' "$scratch/tree/$1"
    shift 3
  done
  (cd "$scratch/tree" && go build -o "$scratch/daemon" ./cmd/chivespoold)
  export DAEMON=$scratch/daemon
}

# expect plays the scene $1 and fails where the count $2 is not seen.
expect() {
  local scene=$1 what=$2 count
  scripts/faults.sh "$scene" >"$scratch/$scene.txt" 2>&1 || true
  count=$(grep -oE "$what [0-9]+" "$scratch/$scene.txt" | awk '{print $NF; exit}')
  echo "$scene, broken on purpose: $what ${count:-not shown}"
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
expect none cut
break_daemon $serve "$length" "$no_length" $serve 'c.Response().Write(buffer[:count])' \
  'c.Response().Write(append(buffer[:count:count], buffer[:count]...))'
expect none doubled
break_daemon $serve 'acceptor.setWriteDeadline(c)' 'buffer[0] ^= 1'
expect none wrong
break_daemon $serve 'c.Response().WriteHeader(answer.Status())' \
  'if time.Now().UnixNano()%97 == 0 { <-time.After(time.Minute) }
	c.Response().WriteHeader(answer.Status())'
expect none lost
break_daemon $attempt 'return attempts.repeatable || attempts.ran == refuser.NotRun' 'return true'
expect crash 'ran twice'
break_daemon internal/refuser/refuser.go 'ran: ran,' 'ran: NotRun,'
expect crash 'not run but run'
unset DAEMON
LATE_LAG=60000 expect leaving-endpoint 'late'
expect wiped 'gone back'
exit $status
