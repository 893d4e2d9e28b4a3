#!/usr/bin/env bash
# Measures how long an accepted change takes to be in force on every entry host:
# from the first to the last event on the timeline. All hosts share one clock here.
set -euo pipefail
source "$(dirname "$0")/processes.sh"

counts=${HOSTS:-"5 20 40"}
changes=${CHANGES:-20}
places=(nairobi/nairobi-a nairobi/nairobi-b rift/rift-a rift/rift-b coast/coast-a coast/coast-b)

make -s build
set_traps
make_keys amina
free_base 100
for count in $counts; do
  start_platform
  entries=()
  for index in $(seq "$count"); do
    place=${places[$((index % ${#places[@]}))]}
    port=$((base + 2 * index))
    file=$(settings "host-$index" "${place%/*}" "${place#*/}" "$port" <<<"[callers]
hold-time = 200ms
[operators]
bootstrap-key = $bootstrap_key")
    list_host "host-$index" "${place%/*}" "${place#*/}" "$port"
    start "entry-$index" $daemon --settings "$file"
    entries+=("127.0.0.1:$port")
  done
  $bench await "${entries[@]}"
  entry=${entries[0]}
  bootstrap_committee >/dev/null
  sleep 8
  for index in $(seq "$changes"); do
    operate_as amina "create pool pool-$index" >/dev/null
  done
  sleep 6
  operate_as amina time-line | awk -v hosts="$count" -v skip=1 '
    $3 == "configuration" && /is in force/ {
      split($1, parts, /[T:Z]/)
      at = parts[2] * 3600 + parts[3] * 60 + parts[4]
      revision = $6
      if (revision <= skip) next
      if (!(revision in first) || at < first[revision]) first[revision] = at
      if (at > last[revision]) last[revision] = at
      seen[revision]++
    }
    END {
      for (revision in first) {
        elapsed = last[revision] - first[revision]
        sum += elapsed; changes++
        if (elapsed > most) most = elapsed
        if (seen[revision] < hosts) missed++
      }
      printf "%d entry hosts, %d changes: in force on all hosts after %.1f ms on average, %.1f ms at most; %d changes not seen on all hosts\n",
        hosts, changes, 1000 * sum / changes, 1000 * most, missed
    }'
  stop_all
  rm -f "$run/store.log.json"
done
