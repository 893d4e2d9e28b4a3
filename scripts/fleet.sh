# Sourced by scripts that need a complete fleet: the platform, three services of
# backend servers, four entry hosts in two regions, and three operators.

source "$(dirname "${BASH_SOURCE[0]}")/processes.sh"

places=(nairobi/nairobi-a nairobi/nairobi-b coast/coast-a coast/coast-b)
services=(tile ledger export)
endpoints_each=4

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
      --name "${services[$index]}" --count $endpoints_each --first "127.0.0.1:$((port + 1))" --drain 500ms \
      --journal "$run/${services[$index]}.journal"
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
  bootstrap_committee | tail -n 1
  for index in "${!services[@]}"; do
    accept "$(pool_statement "${services[$index]}" $endpoints_each $((base + 21 + 20 * index)) "${places[@]}")"
  done
  operate_as chipo show services
  operate_as chipo show rules
}

# start_load starts the load $1 with the further flags $2...
start_load() {
  local label=$1 flags=() address
  shift
  for address in "${entries[@]}"; do flags+=(--entry "$address"); done
  for address in "${admins[@]}"; do flags+=(--journal "http://$address"); done
  for address in "${services[@]}"; do flags+=(--service "$address"); done
  for address in "${places[@]}"; do flags+=(--place "$address"); done
  start "load-$label" $bench load "${flags[@]}" --label "$label" --rate 300 \
    --short 5ms --long 150ms --long-share 0.02 --post-share 0.2 --keyed-share 0.05 "$@"
}

# end_load waits for the load $1 and prints its report. The script fails if the
# load reported a violation.
end_load() {
  local pid code=0
  pid=$(pid_of "load-$1")
  wait "$pid" || code=$?
  forget "$pid"
  cat "$run/load-$1.log"
  if [ "$code" -ne 0 ]; then status=$code; fi
}
