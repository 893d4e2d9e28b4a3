#!/usr/bin/env bash
# Measures what an entry host adds to a call, at rest and beside a steady load,
# and the processor time that a call costs it. The target is 1.4 ms for 99 in
# 100 calls. Run it on a machine that does nothing else.
set -euo pipefail
source "$(dirname "$0")/processes.sh"

endpoints=56
rates=${RATES:-"0 500 1000 2000 4000"}

cpu_ms() { $bench call GET "http://$entry/metrics" | grep -o '"process.cpu":{"value":[0-9]*' | grep -o '[0-9]*$'; }

make -s build
guard
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
found >/dev/null
operate_as amina "propose $(pool_statement probe 1 $((base + 100)) nairobi/nairobi-a)" >/dev/null
operate_as amina "propose $(pool_statement tile $endpoints $((base + 21)) nairobi/nairobi-a)" >/dev/null

for rate in $rates; do
  printf '\n== beside %s calls a second\n' "$rate"
  if [ "$rate" -gt 0 ]; then
    start load $bench load --entry "$entry" --journal "http://127.0.0.1:$((base + 20))" --service tile \
      --place nairobi/nairobi-a --label "added-$rate" --rate "$rate" --duration 9s --callers 20 \
      --short 5ms --long-share 0 --post-share 0.1
    sleep 1
  fi
  before=$(cpu_ms)
  began=$(date +%s%N)
  $bench added --entry "$entry" --endpoint "127.0.0.1:$((base + 100))" --service probe --count 1500
  spent=$(($(cpu_ms) - before))
  took=$((($(date +%s%N) - began) / 1000000))
  awk -v spent="$spent" -v took="$took" -v rate="$rate" 'BEGIN {
    calls = rate * took / 1000 + 1650
    printf "the daemon used %d ms of processor time in %d ms: %.0f us a call, %.0f calls a second for each core\n",
      spent, took, 1000 * spent / calls, calls / spent * 1000
  }'
  if [ "$rate" -gt 0 ]; then
    pid=$(pid_of load)
    wait "$pid" || status=1
    forget "$pid"
    grep -E 'answered|short' "$run/load.log" | tail -n 2
  fi
done
