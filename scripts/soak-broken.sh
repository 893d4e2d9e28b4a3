#!/usr/bin/env bash
# Checks that the soak detects each kind of violation: it soaks deliberately broken
# daemons, built from a scratch copy of the tree, and expects violations of the
# guarantee that each of them breaks.
#
#   scripts/soak-broken.sh            all guarantees
#   scripts/soak-broken.sh ran-once   some guarantees
set -euo pipefail
cd "$(dirname "$0")/.."

scratch=$(mktemp -d)
trap 'rm -rf "$scratch"' EXIT
status=0
wanted=${*:-all}
go build -o "$scratch/chivessoak" ./cmd/chivessoak

# expect_violation builds a daemon with replaced text, soaks it with the seeds $2
# and the kinds of events $3, and fails unless the guarantee $1 is violated. Each
# further group of three arguments is a file, the old text and the new text.
expect_violation() {
  local guarantee=$1 seeds=$2 kinds=$3 count
  shift 3
  if [[ $wanted != all && " $wanted " != *" $guarantee "* ]]; then return; fi
  rm -rf "$scratch/tree"
  mkdir -p "$scratch/tree"
  cp -r go.mod go.sum cmd internal pkg platform "$scratch/tree"
  while [ $# -gt 0 ]; do
    grep -qF -- "$2" "$scratch/tree/$1" || { echo "$1 does not contain '$2'; update scripts/soak-broken.sh" >&2; exit 2; }
    OLD=$2 NEW=$3 perl -0pi -e 's/\Q$ENV{OLD}\E/$ENV{NEW}/' "$scratch/tree/$1"
    shift 3
  done
  (cd "$scratch/tree" && go build -o "$scratch/daemon" ./cmd/chivespoold)
  "$scratch/chivessoak" --daemon "$scratch/daemon" --out "$scratch/out" --seeds "$seeds" --kinds "$kinds" --jobs 4 --trouble 8s \
    >"$scratch/$guarantee.txt" 2>&1 || true
  count=$(grep -c "^  $guarantee: " "$scratch/$guarantee.txt" || true)
  echo "deliberately broken, $kinds: $guarantee violated $count times"
  if [ "$count" -eq 0 ]; then
    cat "$scratch/$guarantee.txt"
    status=1
  fi
}

protocol=platform/client_protocol.go
race=internal/dispatcher/race.go

expect_violation ran-once 1-2 endpoint-cuts-answers,endpoint-reset internal/dispatcher/attempt.go 'return attempts.repeatable || attempts.ran == refuser.NotRun' 'return true'
expect_violation not-run-is-true 1-2 endpoint-cuts-answers,endpoint-reset $protocol 'return http.StatusBadGateway' 'return http.StatusServiceUnavailable'
expect_violation whole-answer 1 publish internal/acceptor/serve.go 'c.Response().Write(buffer[:count])' 'c.Response().Write(append([]byte{buffer[0] ^ 1}, buffer[1:count]...))'
expect_violation unchanged 1 publish $protocol 'incoming.Method, target, incoming.Header' 'incoming.Method, target + "x", incoming.Header'
expect_violation routed 1 publish internal/launcher/directory.go 'gateway.tracker.View().Endpoints(service)' 'gateway.tracker.View().Endpoints("many")'
expect_violation served-route 1 publish internal/definer/route.go 'strings.HasPrefix(path, route.prefix)' 'strings.HasPrefix(path, "/many/")'
expect_violation draining 1-2 endpoint-drains platform/decoder.go '*decoded.State == "draining")' 'false)'
expect_violation routing-in-force 1-2 publish internal/tracker/tasks.go 'readShare = 0.25' 'readShare = 4'
tracker=internal/tracker/tracker.go
expect_violation routing-never-back 1-2 publish $tracker 'if view := tracker.current.Load(); view != nil {' \
  'if view := tracker.current.Load(); view != nil {
		if oldest == nil && view.Table().Version() > 0 { oldest = view }
		if oldest != nil && time.Now().Unix()%2 == 0 { return oldest }' \
  $tracker '// View returns' 'var oldest *View

// View returns'
failed='race.best.status < http.StatusInternalServerError'
expect_violation attempts 1-2 endpoint-fails internal/dispatcher/attempt.go 'attempts.made < attempts.limit' 'true' \
  $race "$failed" 'race.best.status < http.StatusContinue || call.attempts.made > 6' $race '|| !dispatcher.budget.spend(call.service)' ''
expect_violation budget 1 endpoint-fails $race "$failed" 'race.best.status < http.StatusContinue || call.attempts.made > 1' \
  $race '|| !dispatcher.budget.spend(call.service)' ''
stopper=internal/stopper/stopper.go
signals=cmd/chivespoold/signals.go
reset='signal.Reset(syscall.SIGINT)'
expect_violation stop-cuts-nothing 1-2 stop-gateway $stopper 'acceptShare   = 0.48' 'acceptShare   = 0' $stopper 'endShare = 0.94' 'endShare = 0.0001'
expect_violation stop-cuts-nothing 1-4 stop-gateway,stop-in-turn $stopper 'startShare   = 0.43' 'startShare   = 0.94' $stopper '3*time.Second - maxDelay' '6 * time.Second'
expect_violation stop-cuts-nothing 1-2 stop-twice $signals "$reset" 'signal.Reset(syscall.SIGINT, syscall.SIGTERM)'
expect_violation stop-cuts-nothing 1-2 stop-and-hang-up $signals "$reset" 'signal.Reset(syscall.SIGINT, syscall.SIGHUP)'
expect_violation recovers 1 publish internal/launcher/directory.go 'return gateway.tracker.View().Endpoints(service)' \
  'if time.Since(time.Unix(0, int64(gateway.self.Incarnation()))) > 10*time.Second { return nil }
	return gateway.tracker.View().Endpoints(service)'
expect_violation ended-by-itself 1-2 hang-up $signals 'signal.Notify(signals.hangups, syscall.SIGHUP)' 'signal.Notify(signals.hangups, syscall.SIGUSR1)'
exit $status
