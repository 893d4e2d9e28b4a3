#!/usr/bin/env bash
# Measures what an entry host costs by the number of entry hosts (5 to 40, idle
# and under a load), by the number of endpoints (12 to 1,200, idle) and by the
# rate of requests. Prints the slopes with their standard errors, by least
# squares; the measurements are in out/capacity.jsonl. CPU is in ms a second,
# memory in MB, all other figures are rises of counters a second, each for one
# entry host.
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

# start_fleet starts $1 entry hosts and defines $2 endpoints of service tile,
# of which the first 12 are served.
start_fleet() {
  local count=$1 endpoints=$2 index place port file
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
  found >/dev/null
  operate_as amina "propose $(pool_statement tile 12 $((base + 4)) "${places[@]}")" >/dev/null
  define_idle $((endpoints - 12))
  sleep "$settle"
}

# define_idle defines $1 endpoints that nobody serves, in a pool of their own.
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

# measure samples the fleet as scene $1 at $2.
measure() {
  $bench sample "${processes[@]}" --interval "$interval" --scene "$1" --x "$2" | tee -a "$samples" >/dev/null
  echo "$1 at $2: measured" >&2
}

# measure_load samples the fleet under a load of $3 requests a second.
measure_load() {
  start load $bench load "${entries[@]}" --service tile --label "load-$1-$2" --rate "$3" --duration 1h \
    --short 5ms --long 50ms --place nairobi/nairobi-a --place coast/coast-a
  sleep 2
  measure "$1" "$2"
  stop load
}

make -s build
guard
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
for rate in $rates_series; do
  measure_load "requests a second, 5 entry hosts" "$rate" "$rate"
done
stop_all
$bench slopes "$samples"
