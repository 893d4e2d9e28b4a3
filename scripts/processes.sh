# Sourced by the other scripts: starts processes, waits for them and stops
# them all at the end, however the script ends.
#
# The processes listen on loopback, from port $base on. Their logs go to the
# folder $run.

cd "$(dirname "${BASH_SOURCE[0]}")/.."
bench=bin/chivesbench
daemon=bin/chivespoold
operate=bin/chivesctl

names=()
pids=()
declare -A commands=()
status=0

# free_base finds a port from which on $1 ports are free, below those that the
# system gives to outgoing connections.
free_base() {
  local count=$1 taken port try
  taken=$(awk 'FNR > 1 {split($2, parts, ":"); print parts[2]}' /proc/net/tcp /proc/net/tcp6 2>/dev/null | sort -u)
  for try in $(seq 100); do
    base=$((10000 + RANDOM % 80 * 250))
    for port in $(seq "$base" $((base + count - 1))); do
      if grep -qx "$(printf '%04X' "$port")" <<<"$taken"; then
        continue 2
      fi
    done
    return 0
  done
  echo "no $count free ports in a row; stop other programs that listen on loopback" >&2
  return 1
}

# start runs the command $2... as a process called $1. It gets a process group
# of its own, so that Ctrl-C reaches the script alone, which then stops all in
# order; a process takes a second signal as an order to end at once.
start() {
  local name=$1
  shift
  set -m
  "$@" >>"$run/$name.log" 2>&1 </dev/null &
  set +m
  names+=("$name")
  pids+=($!)
  commands[$name]=$(printf '%q ' "$@")
}

# kill_process kills the process called $1 with no chance to clean up.
kill_process() {
  local pid
  pid=$(pid_of "$1")
  kill -KILL "$pid"
  wait "$pid" 2>/dev/null || true
  forget "$pid"
}

# restart starts a process called $1 again, with the command it had.
restart() { eval "start $1 ${commands[$1]}"; }


# pid_of prints the process id of the newest process called $1.
pid_of() {
  local index found=
  for index in "${!names[@]}"; do
    if [ "${names[$index]}" = "$1" ]; then found=${pids[$index]}; fi
  done
  echo "$found"
}

# forget takes the process id $1 off the list of what runs.
forget() {
  local index
  for index in "${!pids[@]}"; do
    if [ "${pids[$index]}" = "$1" ]; then
      unset "pids[$index]" "names[$index]"
    fi
  done
}

# stop stops the processes called $1... gracefully, all at once, and waits. One
# that does not end well makes the script fail.
stop() {
  local name pid stopped=()
  for name in "$@"; do
    pid=$(pid_of "$name")
    if [ -n "$pid" ] && kill -TERM "$pid" 2>/dev/null; then stopped+=("$name"); fi
  done
  for name in "${stopped[@]}"; do
    pid=$(pid_of "$name")
    if ! wait_end "$pid"; then
      echo "$name did not stop in time or failed; see $run/$name.log" >&2
      tail -n 5 "$run/$name.log" >&2
      status=1
    fi
    forget "$pid"
  done
}

# wait_end waits for the end of the child $1, which it kills after 30 s.
wait_end() {
  local pid=$1 tick
  for tick in $(seq 300); do
    if ! kill -0 "$pid" 2>/dev/null; then
      # A bare return in a trap has the status from before the trap.
      wait "$pid" && return 0
      return 1
    fi
    sleep 0.1
  done
  kill -KILL "$pid"
  wait "$pid"
  return 1
}

# stop_all stops what runs, in the reverse order of start by kind: entry hosts
# before backend servers before the platform.
stop_all() {
  trap '' INT TERM HUP
  local kind name group
  for kind in load entry backend .; do
    group=()
    for name in "${names[@]}"; do
      if [[ $name =~ ^$kind ]]; then group+=("$name"); fi
    done
    if [ ${#group[@]} -gt 0 ]; then stop "${group[@]}"; fi
  done
}

# finish is run at any end of the script.
finish() {
  local code=$?
  trap - EXIT
  stop_all
  if [ "$code" -eq 0 ]; then code=$status; fi
  if [ "$code" -eq 0 ]; then rm -rf "$run"; fi
  exit "$code"
}

# guard makes sure that no process is left, also on Ctrl-C.
guard() {
  run=$(mktemp -d)
  trap finish EXIT
  trap 'exit 130' INT
  trap 'exit 143' TERM
  trap 'exit 129' HUP
}

# start_platform starts the store on port $base and the host list after it.
start_platform() {
  store=127.0.0.1:$base
  hosts=127.0.0.1:$((base + 1))
  start store $bench store --listen "$store" --log "$run/store.log.json"
  start host-list $bench host-list --listen "$hosts" "$@"
  $bench await "$store" "$hosts"
}

# settings writes the settings of an entry host: its name, region, data centre
# and port; further sections come from standard input. It prints the file's
# name. Peers connect to the port after it.
settings() {
  local name=$1 region=$2 centre=$3 port=$4
  {
    printf '[host]\nname = %s\nregion = %s\ndata-centre = %s\n' "$name" "$region" "$centre"
    printf 'address = 127.0.0.1:%d\npeer-address = 127.0.0.1:%d\n' "$port" $((port + 1))
    printf '[platform]\nstore = http://%s\nhost-list = http://%s\n' "$store" "$hosts"
    cat
  } >"$run/$name.ini"
  echo "$run/$name.ini"
}

# list_host puts an entry host into the host list, as the platform does.
list_host() {
  local name=$1 region=$2 centre=$3 port=$4
  $bench call PUT "http://$hosts/hosts/$name" "$(printf \
    '{"address":"127.0.0.1:%d","peer-address":"127.0.0.1:%d","region":"%s","data-centre":"%s","incarnation":1,"state":"live"}' \
    "$port" $((port + 1)) "$region" "$centre")" >/dev/null
}

# make_keys makes keys for the operators $1...; the first is the chair, whose
# key founds the committee.
make_keys() {
  local name
  operators=("$@")
  for name in "$@"; do
    $operate keygen --out "$run/$name.key" >"$run/$name.public"
  done
  bootstrap_key=$(tail -n 1 "$run/$1.public")
}

# operate_as runs chivesctl for operator $1 at the entry host $entry.
operate_as() {
  local name=$1
  shift
  $operate --entry "$entry" --operator "$name" --key "$run/$name.key" "$@"
}

# found makes the committee of all operators.
found() {
  local name members=()
  for name in "${operators[@]:1}"; do
    members+=(--member "$name=$(tail -n 1 "$run/$name.public")")
  done
  operate_as "${operators[0]}" bootstrap "${members[@]}"
}

# pool_statement prints the changes that create service $1 on a pool of $2
# endpoints from port $3 on, spread over the places in $4... (region/centre).
# Reads are repeatable, other requests aren't, and /long is long work.
pool_statement() {
  local service=$1 count=$2 port=$3 index place
  shift 3
  local places=("$@")
  printf 'create pool %s, create service %s pool %s' "$service" "$service" "$service"
  for index in $(seq "$count"); do
    place=${places[$(((index - 1) % ${#places[@]}))]}
    printf ', create endpoint %s-%d pool %s address 127.0.0.1:%d region %s data-centre %s slots 4' \
      "$service" "$index" "$service" $((port + index - 1)) "${place%/*}" "${place#*/}"
  done
  printf ', create rule %s-long service %s method GET path /long repeatable yes lane long' "$service" "$service"
}
