#!/usr/bin/env bash
# Injects faults into a fleet of real processes on loopback under load, and counts
# violations: requests that were lost, truncated (cut), duplicated (doubled),
# answered wrongly, run twice, refused as not run although they ran, or sent to a
# leaving endpoint too late, and configuration revisions that went back. All counts
# must be 0. It also prints the time to recovery.
#
#   scripts/faults.sh                 all scenes
#   scripts/faults.sh kill freeze     some scenes
#
# scripts/faults-broken.sh checks that each kind of violation is detected.
#
# Partitions between regions and one-way loss can't be made on loopback. They are
# tested in virtual time (internal/monitor).
set -euo pipefail
source "$(dirname "$0")/processes.sh"

daemon=${DAEMON:-$daemon}
all_scenes="kill crash freeze outage-replace stale-list leaving-endpoint data-centre-gone rolling freeze-in-outage"
scenes=${*:-$all_scenes}
seconds=${SECONDS_EACH:-20}
rate=${RATE:-300}
out=${OUT:-out}/faults
# Seconds from the start of the load to the fault.
fault_at=5

# Entry hosts: name, region and data centre. Ports are assigned in this order.
fleet=(
  "rift-1 rift rift-a" "rift-2 rift rift-a" "rift-3 rift rift-b"
  "rift-4 rift rift-b" "coast-1 coast coast-a" "coast-2 coast coast-a"
)
centres=("rift rift-a" "rift rift-b" "coast coast-a")
endpoints_each=4
next_slot=0

# port_of prints the port of the entry host $1.
port_of() { cat "$run/$1.port"; }

# start_entry starts the entry host $1 of region $2 and data centre $3 on unused
# ports and adds it to the host list. With a fourth argument it is not added.
start_entry() {
  local name=$1 region=$2 centre=$3 port=$((base + 40 + 2 * next_slot))
  next_slot=$((next_slot + 1))
  echo "$port" >"$run/$name.port"
  echo "$region $centre" >"$run/$name.place"
  settings "$name" "$region" "$centre" "$port" >/dev/null <<INI
[callers]
hold-time = 2s
[operators]
bootstrap-key = $public
INI
  if [ $# -lt 4 ]; then list_host "$name" "$region" "$centre" "$port"; fi
  restart_entry "$name"
  names_up+=("$name")
}

# restart_entry starts the entry host $1 with its existing settings.
restart_entry() { start "entry-$1" $daemon --settings "$run/$1.ini"; }

# kill_hard kills the process $1 with SIGKILL.
kill_hard() {
  local pid
  pid=$(pid_of "$1")
  kill -KILL "$pid"
  wait "$pid" 2>/dev/null || true
  forget "$pid"
}

# unlist removes the entry host $1 from the host list.
unlist() { $bench call DELETE "http://$hosts/hosts/$1" >/dev/null; }

# operate_on runs a statement as the chair on any entry host that responds.
operate_on() {
  local name entries=()
  for name in "${names_up[@]}"; do entries+=(--entry "127.0.0.1:$(port_of "$name")"); done
  $operate "${entries[@]}" --operator chair --key "$run/chair.key" "$@"
}

# accept proposes the change $1. It is accepted, since the chair is the only member
# of the committee.
accept() { operate_on "propose $1" >>"$run/operator.log" 2>&1; }

# set_up starts the platform, backend servers and entry hosts, and configures them.
set_up() {
  names_up=()
  next_slot=0
  rm -f "$run/chair.key"
  free_base 140
  start_platform --lag 200ms
  public=$($operate keygen --out "$run/chair.key" | grep -oE '[A-Za-z0-9+/_=-]{40,}' | tail -n 1)
  local index place member
  journals=()
  for index in "${!centres[@]}"; do
    read -r -a place <<<"${centres[$index]}"
    start "backend-${place[1]}" $bench backend --admin "127.0.0.1:$((base + 2 + index))" \
      --count $endpoints_each --name "${place[1]}" --first "127.0.0.1:$((base + 10 + 10 * index))"
    journals+=(--journal "http://127.0.0.1:$((base + 2 + index))")
  done
  for member in "${fleet[@]}"; do
    # shellcheck disable=SC2086
    start_entry $member
  done
  for member in "${names_up[@]}"; do $bench await "127.0.0.1:$(port_of "$member")"; done
  configure_services
}

# bootstrap_chair creates a committee of the chair alone. It retries until the
# hosts have read the platform's state.
bootstrap_chair() {
  local try
  for try in $(seq 10); do
    if operate_on bootstrap >"$run/bootstrap.log" 2>&1; then return 0; fi
    sleep 0.5
  done
  cat "$run/bootstrap.log" >&2
  return 1
}

configure_services() {
  local index place number changes="create pool ledger, create service ledger pool ledger"
  for index in "${!centres[@]}"; do
    read -r -a place <<<"${centres[$index]}"
    for number in $(seq $endpoints_each); do
      changes+=", create endpoint ${place[1]}-$number pool ledger address 127.0.0.1:$((base + 9 + 10 * index + number))"
      changes+=" region ${place[0]} data-centre ${place[1]} slots 4"
    done
  done
  bootstrap_chair
  accept "$changes"
  sleep 3
}

# watch_revisions records the revisions of the entry hosts in $run/watched in a
# loop.
watch_revisions() {
  local name revision
  while true; do
    for name in $(cat "$run/watched"); do
      revision=$($operate --entry "127.0.0.1:$(port_of "$name")" --operator chair --key "$run/chair.key" \
        "show configuration" 2>/dev/null |
        awk '$1 == "revision" {print $2}') || true
      if [ -n "$revision" ]; then echo "$name $revision" >>"$run/revisions"; fi
    done
    sleep 0.2
  done
}

# count_regressions counts the reads of a host with a lower revision than the read
# before.
count_regressions() {
  awk '$2 < last[$1] {count++} {last[$1] = $2} END {print count + 0}' "$run/revisions"
}

# watch_these sets the entry hosts that watch_revisions reads.
watch_these() { printf '%s\n' "$@" >"$run/watched"; }

# change_often changes the configuration in a loop.
change_often() {
  local slots=5
  while true; do
    accept "alter endpoint rift-a-1 slots $slots" || true
    slots=$((9 - slots))
    sleep 1
  done
}

# runs_of prints the number of requests that the endpoint $2 of the backend with
# admin port $1 has run.
runs_of() {
  $bench call GET "http://127.0.0.1:$1/endpoints" | tr '{' '\n' |
    awk -F'[:,]' -v name="\"$2\"" '$2 == name {for (i = 1; i < NF; i++) if ($i == "\"runs\"") print $(i + 1)}'
}

# endpoint_state sets the state of the endpoint rift-a-$1 to $2 in the host list.
endpoint_state() {
  $bench call PUT "http://$hosts/backends/rift-a-$1" \
    "{\"address\":\"127.0.0.1:$((base + 9 + $1))\",\"state\":\"$2\"}" >/dev/null
}

# The scenes. Each runs during the load and may write a count to $run/late.

scene_kill() {
  kill_hard entry-rift-1
  sleep 3
  restart_entry rift-1
}

scene_crash() {
  local round index place
  for round in 1 2 3 4 1 2 3 4; do
    for index in "${!centres[@]}"; do
      read -r -a place <<<"${centres[$index]}"
      $bench call POST "http://127.0.0.1:$((base + 2 + index))/endpoints/${place[1]}-$round/crash" >/dev/null
    done
    sleep 0.7
  done
}

scene_freeze() {
  local pid
  pid=$(pid_of entry-rift-2)
  kill -STOP "$pid"
  sleep 5
  kill -CONT "$pid"
}

scene_outage-replace() {
  $bench call PUT "http://$store/faults" '{"outage":true}' >/dev/null
  start_entry rift-5 rift rift-a
  $bench await "127.0.0.1:$(port_of rift-5)"
  watch_these "${names_up[@]}"
  stop entry-rift-1
  unlist rift-1
  sleep 3
  $bench call PUT "http://$store/faults" '{}' >/dev/null
}

scene_stale-list() {
  $bench call PUT "http://$hosts/lag" '{"lag-ms":60000}' >/dev/null
  kill_hard entry-rift-1
  unlist rift-1
  start_entry rift-5 rift rift-a
}

# The host list marks an endpoint as leaving. Its runs are counted from 3.2 s
# later, while other endpoints still receive requests.
scene_leaving-endpoint() {
  local before after admin=$((base + 2))
  if [ -n "${LATE_LAG:-}" ]; then $bench call PUT "http://$hosts/lag" "{\"lag-ms\":$LATE_LAG}" >/dev/null; fi
  endpoint_state 1 leaving
  sleep 3.2
  before=$(runs_of "$admin" rift-a-1)
  sleep 5
  after=$(runs_of "$admin" rift-a-1)
  echo $((after - before)) >"$run/late"
  endpoint_state 1 live
}

# No fault; faults-broken.sh runs this scene with broken daemons.
scene_none() { sleep 5; }

# The store loses the accepted configuration and all hosts that hold it are killed.
# faults-broken.sh runs this scene and expects that the revision goes back.
scene_wiped() {
  local name
  kill_hard store
  start store $bench store --listen "$store"
  $bench await "$store"
  for name in "${names_up[@]}"; do kill_hard "entry-$name"; done
  for name in "${names_up[@]}"; do restart_entry "$name"; done
  for name in "${names_up[@]}"; do $bench await "127.0.0.1:$(port_of "$name")"; done
  bootstrap_chair
  sleep 5
}

scene_data-centre-gone() {
  local number admin=$((base + 3))
  kill_hard entry-rift-3
  kill_hard entry-rift-4
  for number in $(seq $endpoints_each); do
    $bench call PUT "http://127.0.0.1:$admin/endpoints/rift-b-$number" '{"stopped":true}' >/dev/null
  done
  sleep 8
  for number in $(seq $endpoints_each); do
    $bench call PUT "http://127.0.0.1:$admin/endpoints/rift-b-$number" '{"stopped":false}' >/dev/null
  done
  restart_entry rift-3
  restart_entry rift-4
}

scene_rolling() {
  local name
  for name in "${names_up[@]}"; do
    # shellcheck disable=SC2046
    start_entry "new-$name" $(cat "$run/$name.place")
    $bench await "127.0.0.1:$(port_of "new-$name")"
    watch_these "${names_up[@]}"
    sleep 1
    stop "entry-$name"
    unlist "$name"
  done
}

scene_freeze-in-outage() {
  $bench call PUT "http://$store/faults" '{"outage":true}' >/dev/null
  scene_freeze
  sleep 2
  $bench call PUT "http://$store/faults" '{}' >/dev/null
}

# graceful reports whether the scene $1 kills and freezes no entry host. Then no
# connection to one may break either.
graceful() { [[ $1 =~ ^(outage-replace|leaving-endpoint|rolling|crash|none)$ ]]; }

# recovery prints the time from the fault to recovery in ms: to the end of the last
# half second with a refusal or less than 90% of requests answered.
recovery() {
  awk -F'[:, ]+' -v from=$((1000 * fault_at)) -v to=$((1000 * $2)) '
    /"series"/ {on = 1}
    on && /"at-ms"/ {at = $3}
    on && /"offered"/ {window = int(at / 500); offered[window] += $3}
    on && /"answered"/ {answered[window] += $3}
    on && /"refused"/ {refused[window] += $3}
    END {
      last = from
      for (window in offered) {
        end = 500 * (window + 1)
        if (end > from && end < to && (refused[window] > 0 || answered[window] < 0.9 * offered[window]) && end > last) last = end
      }
      print last - from
    }' "$1"
}

# run_scene runs the scene $1 under load and prints its counts.
run_scene() {
  local scene=$1 length=$seconds flags=(--faults) name entries=() load code=0 report
  if graceful "$scene"; then flags=(); fi
  if [ "$scene" = rolling ]; then length=100; fi
  set_up
  : >"$run/revisions"
  echo 0 >"$run/late"
  watch_these "${names_up[@]}"
  watch_revisions &
  local watcher=$!
  change_often &
  local operator=$!
  for name in "${names_up[@]}"; do entries+=(--entry "127.0.0.1:$(port_of "$name")"); done
  $bench load "${entries[@]}" "${journals[@]}" --service ledger --label "$scene" --rate "$rate" \
    --duration "${length}s" --short 20ms --post-share 0.2 --keyed-share 0.1 "${flags[@]}" \
    --place rift/rift-a --place rift/rift-b --place coast/coast-a --out "$out" >"$run/load.txt" 2>&1 &
  load=$!
  sleep "$fault_at"
  "scene_$scene"
  wait "$load" || code=$?
  kill -KILL "$watcher" "$operator" 2>/dev/null || true
  wait "$watcher" "$operator" 2>/dev/null || true
  report="$out/$scene.json"
  cat "$run/load.txt"
  printf '  sent to a leaving endpoint late %d, revisions gone back %d of %d seen; recovered after %d ms\n' \
    "$(cat "$run/late")" "$(count_regressions)" "$(wc -l <"$run/revisions")" "$(recovery "$report" "$length")"
  if [ "$code" -ne 0 ] || [ "$(cat "$run/late")" -ne 0 ] || [ "$(count_regressions)" -ne 0 ]; then status=1; fi
  stop_all
}

# Each scene runs with its own processes, ports and keys.
if [ "$(wc -w <<<"$scenes")" -gt 1 ]; then
  for scene in $scenes; do "$0" "$scene" || status=1; done
  exit $status
fi
make -s build
set_traps
mkdir -p "$out"
run_scene "$scenes"
