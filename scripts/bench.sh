#!/usr/bin/env bash
# Compares routing policies. Each policy has its own platform, entry hosts and
# backend servers. All policies run at the same time under the same load, at 50,
# 75 and 90% of capacity and with a rate that swings between 0.3 and 1.5 times
# capacity, for several seeds. The scene short-90 is 90% of capacity with short
# requests only. (no-long-90, which is not run by default, is load-90 without its
# long requests.) Prints a table and writes out/bench.json, a plot for each scene,
# and the report of each load under out/bench/.
set -euo pipefail
source "$(dirname "$0")/processes.sh"

policies=${POLICIES:-"random two-choices stale-report slots"}
seeds=${SEEDS:-"1 2 3"}
scenes=${SCENES:-"load-50 load-75 load-90 short-90 swing"}
seconds=${SECONDS_EACH:-20}
entries_each=${ENTRIES:-4}
out=${OUT:-out}

# One service with 12 endpoints of 4 slots each. A short request takes 50 ms, and
# one request in 100 takes 30 times as long. Each endpoint is 4 times slower for
# 500 ms at a mean interval of 5 s. Requests are this slow so that all policies can
# run on one machine at the same time.
endpoints=12
work=(--short 50ms --long 1500ms --long-share 0.01 --post-share 0.1 --timeout 2s --long-timeout 30s)
slow_periods=(--slow-every 5s --slow-for 500ms --slow-factor 4)
slow_share=$(awk 'BEGIN {print 0.5 / 5.5}')
# Endpoints queue requests up to their deadline, for the policies that have no
# queue of their own.
queue=(--queue 100 --queue-wait 2s)
ports_each=60

# start_policy starts all processes of policy $1, on ports from $2, with seed $3.
start_policy() {
  local policy=$1 port=$2 seed=$3 count=$entries_each index file
  local setting=$policy
  if [ "$policy" = one-queue ]; then
    # A single entry host is the home of all endpoints, which gives an ideal queue.
    count=1 setting=slots
  fi
  store=127.0.0.1:$port
  hosts=127.0.0.1:$((port + 1))
  start "store-$policy" $bench store --listen "$store"
  start "host-list-$policy" $bench host-list --listen "$hosts"
  start "backend-$policy" $bench backend --admin 127.0.0.1:$((port + 2)) --seed "$seed" \
    --count $endpoints --name tile --first 127.0.0.1:$((port + 10)) "${queue[@]}" "${slow_periods[@]}"
  $bench await "$store" "$hosts" 127.0.0.1:$((port + 2))
  for index in $(seq "$count"); do
    file=$(settings "$policy-$index" nairobi nairobi-a $((port + 28 + 2 * index)) <<<"[routing]
policy = $setting
${ROUTING_EXTRA:-}
[callers]
hold-time = 500ms
[operators]
bootstrap-key = $bootstrap_key")
    list_host "$policy-$index" nairobi nairobi-a $((port + 28 + 2 * index))
    start "entry-$policy-$index" $daemon --settings "$file"
  done
  entry=127.0.0.1:$((port + 30))
  $bench await "$entry"
  bootstrap_committee >/dev/null
  operate_as amina "propose $(pool_statement tile $endpoints $((port + 10)) nairobi/nairobi-a)" >/dev/null
}

# load_policy starts the load of scene $3 with seed $4 on policy $1, whose ports
# start at $2.
load_policy() {
  local policy=$1 port=$2 scene=$3 seed=$4 load swing=0s flags=()
  case $scene in
    load-*) load=$(awk "BEGIN {print ${scene#load-} / 100}") ;;
    no-long-*) load=$(awk "BEGIN {print ${scene#no-long-} / 100}") flags=(--without-long) ;;
    short-*) load=$(awk "BEGIN {print ${scene#short-} / 100}") flags=(--long-share 0) ;;
    swing) load=1 swing=5s ;;
  esac
  start "load-$policy-$scene" $bench load --entry 127.0.0.1:$((port + 30)) \
    --journal http://127.0.0.1:$((port + 2)) --service tile \
    --label "$policy-$scene-$seed" --policy "$policy" --scene "$scene" --seed "$seed" \
    --slots $((4 * endpoints)) --load "$load" --swing "$swing" --slow-share "$slow_share" --slow-factor 4 \
    --duration "${seconds}s" --warmup 3s "${work[@]}" "${flags[@]}" --out "$out/bench"
}

make -s build
set_traps
mkdir -p "$out/bench"
rm -f "$out"/bench/*
# shellcheck disable=SC2086
set -- $policies
free_base $((ports_each * $#))
make_keys amina
first=$base
for seed in $seeds; do
  port=$first
  for policy in $policies; do
    start_policy "$policy" "$port" "$seed"
    port=$((port + ports_each))
  done
  for scene in $scenes; do
    port=$first
    started=()
    for policy in $policies; do
      load_policy "$policy" "$port" "$scene" "$seed"
      started+=("load-$policy-$scene")
      port=$((port + ports_each))
    done
    for name in "${started[@]}"; do
      wait "$(pid_of "$name")" || echo "seed $seed, $name: $(tail -n 1 "$run/$name.log")" >&2
      forget "$(pid_of "$name")"
    done
    echo "seed $seed, $scene: done" >&2
  done
  stop_all
done
$bench compare --out "$out" "$out"/bench/*.json
