#!/usr/bin/env bash
# Runs chivespool on loopback as separate processes: the stand-ins of the store
# and the host list, four entry hosts in two regions, and three services of
# backend servers. Operators set it up, callers send a mixed load, meanwhile
# an endpoint is drained and an entry host stops. Fails if any answer was lost,
# cut, doubled or wrong, or if a process did not stop gracefully.
set -euo pipefail
source "$(dirname "$0")/processes.sh"

seconds=${DEMO_SECONDS:-10}
out=${OUT:-out}
places=(nairobi/nairobi-a nairobi/nairobi-b coast/coast-a coast/coast-b)
services=(tile ledger export)
endpoints_each=4

phase() { printf '\n== %s\n' "$*"; }

# accept proposes the change $1 as amina and votes for it as ben.
accept() {
  local answer proposal
  answer=$(operate_as amina "propose $1")
  proposal=$(awk 'NR == 2 {print $1}' <<<"$answer")
  operate_as ben "vote yes on $proposal" | tail -n 1
}

start_backends() {
  local index port
  admins=()
  for index in "${!services[@]}"; do
    port=$((base + 20 + 20 * index))
    start "backend-${services[$index]}" $bench backend --admin "127.0.0.1:$port" \
      --name "${services[$index]}" --count $endpoints_each --first "127.0.0.1:$((port + 1))" --drain 500ms
    admins+=("127.0.0.1:$port")
  done
  $bench await "${admins[@]}"
}

start_entries() {
  local index place port file
  entries=()
  for index in "${!places[@]}"; do
    place=${places[$index]}
    port=$((base + 2 + 2 * index))
    file=$(settings "${place#*/}-1" "${place%/*}" "${place#*/}" "$port" <<<"[callers]
hold-time = 1s
[operators]
bootstrap-key = $bootstrap_key")
    list_host "${place#*/}-1" "${place%/*}" "${place#*/}" "$port"
    start "entry-${place#*/}" $daemon --settings "$file"
    entries+=("127.0.0.1:$port")
  done
  $bench await "${entries[@]}"
  entry=${entries[0]}
}

set_up() {
  local index
  found | tail -n 1
  for index in "${!services[@]}"; do
    accept "$(pool_statement "${services[$index]}" $endpoints_each $((base + 21 + 20 * index)) "${places[@]}")"
  done
  operate_as chipo show services
  operate_as chipo show rules
}

start_load() {
  local flags=() address
  for address in "${entries[@]}"; do flags+=(--entry "$address"); done
  for address in "${admins[@]}"; do flags+=(--journal "http://$address"); done
  for address in "${services[@]}"; do flags+=(--service "$address"); done
  for address in "${places[@]}"; do flags+=(--place "$address"); done
  start load $bench load "${flags[@]}" --label demo --rate 300 --duration "${seconds}s" \
    --short 5ms --long 150ms --long-share 0.02 --post-share 0.2 --keyed-share 0.05 --out "$out"
}

# end_load waits for the load and shows its report.
end_load() {
  local pid code=0
  pid=$(pid_of load)
  wait "$pid" || code=$?
  forget "$pid"
  cat "$run/load.log"
  if [ "$code" -ne 0 ]; then status=$code; fi
}

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
start_load
sleep $((seconds / 4))
accept "drain endpoint tile-1"
$bench call PUT "http://${admins[1]}/endpoints/ledger-2" '{"run-factor": 8}' >/dev/null
sleep $((seconds / 4))
stop entry-coast-b
end_load
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
