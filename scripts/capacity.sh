#!/usr/bin/env bash
# Measures the resource usage of an entry host by the number of entry hosts (5 to
# 40, idle and under load), the number of endpoints (12 to 1,200, idle) and the
# request rate. Prints the slopes of a least-squares fit with their standard
# errors; the measurements are in out/capacity.jsonl. All figures are per entry
# host: CPU in ms per second, memory in MB, and the others as increases of counters
# per second.
set -euo pipefail
source "$(dirname "$0")/processes.sh"

hosts_series=${HOSTS:-"5 10 20 40"}
endpoints_series=${ENDPOINTS:-"12 120 1200"}
rates_series=${RATES:-"100 200 400"}
interval=${INTERVAL:-10s}
settle=${SETTLE:-8}
rate=100
out=${OUT:-out}
places=(nairobi/nairobi-a nairobi/nairobi-b coast/coast-a coast/coast-b)
changes_each=60

# start_fleet starts $1 entry hosts and configures $2 endpoints of service tile.
# Only the first 12 are running.
start_fleet() {
  local count=$1 endpoints=$2 index place port file
  # The store persists its writes in a file; each fleet starts with an empty store.
  rm -f "$run/store.log.json"
  start_platform
  start backend $bench backend --admin "127.0.0.1:$((base + 2))" --name tile --count 12 --first "127.0.0.1:$((base + 4))"
  $bench await "127.0.0.1:$((base + 2))"
  processes=()
  entries=()
  for index in $(seq "$count"); do
    place=${places[$((index % ${#places[@]}))]}
    port=$((base + 18 + 2 * index))
    file=$(settings "host-$index" "${place%/*}" "${place#*/}" "$port" <<<"[callers]
hold-time = 200ms
[operators]
bootstrap-key = $bootstrap_key")
    list_host "host-$index" "${place%/*}" "${place#*/}" "$port"
    start "entry-$index" $daemon --settings "$file"
    processes+=(--process "$(pid_of "entry-$index")=127.0.0.1:$port")
    entries+=(--entry "127.0.0.1:$port")
  done
  entry=127.0.0.1:$((base + 20))
  $bench await "$entry"
  bootstrap_committee >/dev/null
  operate_as amina "propose $(pool_statement tile 12 $((base + 4)) "${places[@]}")" >/dev/null
  define_idle $((endpoints - 12))
  sleep "$settle"
}

# define_idle configures $1 endpoints that are not running, in a separate pool.
define_idle() {
  local left=$1 index changes
  if [ "$left" -le 0 ]; then return; fi
  operate_as amina "propose create pool idle, create service idle pool idle" >/dev/null
  index=0
  while [ "$index" -lt "$left" ]; do
    changes=
    for _ in $(seq $changes_each); do
      if [ "$index" -ge "$left" ]; then break; fi
      index=$((index + 1))
      changes+=", create endpoint idle-$index pool idle address 127.0.0.1:$((index % 1000 + 1)) region nairobi data-centre nairobi-a slots 4"
    done
    operate_as amina "propose ${changes#, }" >/dev/null
  done
}

# measure samples the fleet for scene $1 at x = $2.
measure() {
  $bench sample "${processes[@]}" --interval "$interval" --scene "$1" --x "$2" | tee -a "$samples" >/dev/null
  echo "$1 at $2: measured" >&2
}

# measure_load samples the fleet for scene $1 at x = $2, under a load of $3
# requests per second.
measure_load() {
  start load $bench load "${entries[@]}" --service tile --label "load-$1-$2" --rate "$3" --duration 1h \
    --short 5ms --long 50ms --place nairobi/nairobi-a --place coast/coast-a
  sleep 2
  measure "$1" "$2"
  stop load
}

make -s build
set_traps
mkdir -p "$out"
samples=$out/capacity.jsonl
: >"$samples"
make_keys amina
free_base 120
for count in $hosts_series; do
  start_fleet "$count" 12
  measure "entry hosts, idle" "$count"
  measure_load "entry hosts, $rate requests a second" "$count" "$rate"
  stop_all
done
for endpoints in $endpoints_series; do
  start_fleet 5 "$endpoints"
  measure "endpoints, idle, 5 entry hosts" "$endpoints"
  stop_all
done
start_fleet 5 12
for each in $rates_series; do
  measure_load "requests a second, 5 entry hosts" "$each" "$each"
done
stop_all
$bench slopes "$samples"
