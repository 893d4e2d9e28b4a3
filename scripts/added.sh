#!/usr/bin/env bash
# Measures the latency that an entry host adds to a call, when idle and under a
# constant load, and its processor time per call. The target is 1.4 ms at the
# 99th percentile. Run it on an otherwise idle machine.
set -euo pipefail
source "$(dirname "$0")/processes.sh"

endpoints=56
rates=${RATES:-"0 500 1000 2000 4000"}

cpu_ms() { $bench call GET "http://$entry/metrics" | grep -o '"process.cpu":{"value":[0-9]*' | grep -o '[0-9]*$'; }

make -s build
set_traps
free_base 200
make_keys amina
start_platform
for service in probe tile; do
  first=$((base + 21))
  count=$endpoints
  if [ "$service" = probe ]; then first=$((base + 100)) count=1; fi
  start "backend-$service" $bench backend --admin "127.0.0.1:$((first - 1))" --name "$service" \
    --count "$count" --first "127.0.0.1:$first"
  $bench await "127.0.0.1:$((first - 1))"
done
file=$(settings entry nairobi nairobi-a $((base + 2)) <<<"[operators]
bootstrap-key = $bootstrap_key")
list_host entry nairobi nairobi-a $((base + 2))
start entry $daemon --settings "$file"
entry=127.0.0.1:$((base + 2))
$bench await "$entry"
bootstrap_committee >/dev/null
operate_as amina "propose $(pool_statement probe 1 $((base + 100)) nairobi/nairobi-a)" >/dev/null
operate_as amina "propose $(pool_statement tile $endpoints $((base + 21)) nairobi/nairobi-a)" >/dev/null

for rate in $rates; do
  printf '\n== with a load of %s calls per second\n' "$rate"
  if [ "$rate" -gt 0 ]; then
    start load $bench load --entry "$entry" --journal "http://127.0.0.1:$((base + 20))" --service tile \
      --place nairobi/nairobi-a --label "added-$rate" --rate "$rate" --duration 9s --callers 20 \
      --short 5ms --long-share 0 --post-share 0.1
    sleep 1
  fi
  before=$(cpu_ms)
  start_ns=$(date +%s%N)
  $bench added --entry "$entry" --endpoint "127.0.0.1:$((base + 100))" --service probe --count 1500
  used=$(($(cpu_ms) - before))
  elapsed=$((($(date +%s%N) - start_ns) / 1000000))
  awk -v used="$used" -v elapsed="$elapsed" -v rate="$rate" 'BEGIN {
    calls = rate * elapsed / 1000 + 1650
    printf "the daemon used %d ms of processor time in %d ms: %.0f us per call, %.0f calls per second per core\n",
      used, elapsed, 1000 * used / calls, calls / used * 1000
  }'
  if [ "$rate" -gt 0 ]; then
    pid=$(pid_of load)
    wait "$pid" || status=1
    forget "$pid"
    grep -E 'answered|short' "$run/load.log" | tail -n 2
  fi
done
