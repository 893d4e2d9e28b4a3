# Sourced by the other scripts. Starts processes, waits for them, and stops all of
# them when the script exits for any reason.
#
# The processes listen on loopback, on ports from $base. Their logs are in the
# directory $run.

cd "$(dirname "${BASH_SOURCE[0]}")/.."
bench=bin/chivesbench
daemon=bin/chivespoold
operate=bin/chivesctl

names=()
pids=()
declare -A commands=()
status=0

# free_base sets base to the first of $1 consecutive free ports, below the range of
# ephemeral ports.
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
  echo "no $count consecutive free ports; stop other programs that listen on loopback" >&2
  return 1
}

# start runs the command $2... as the process $1 in its own process group. Ctrl-C
# then reaches only the script, which stops the processes in order. If it reached
# the processes too, they would get a second signal, which ends them immediately.
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

# kill_process kills the process $1 with SIGKILL.
kill_process() {
  local pid
  pid=$(pid_of "$1")
  kill -KILL "$pid"
  wait "$pid" 2>/dev/null || true
  forget "$pid"
}

# restart starts the process $1 again with the same command.
restart() { eval "start $1 ${commands[$1]}"; }


# pid_of prints the process id of the latest process $1.
pid_of() {
  local index found=
  for index in "${!names[@]}"; do
    if [ "${names[$index]}" = "$1" ]; then found=${pids[$index]}; fi
  done
  echo "$found"
}

# forget removes the process id $1 from the list of running processes.
forget() {
  local index
  for index in "${!pids[@]}"; do
    if [ "${pids[$index]}" = "$1" ]; then
      unset "pids[$index]" "names[$index]"
    fi
  done
}

# stop stops the processes $1... gracefully in parallel and waits for them. The
# script fails if a process exits with an error or not in time.
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

# wait_end waits for the child process $1 and kills it after 30 s.
wait_end() {
  local pid=$1 tick
  for tick in $(seq 300); do
    if ! kill -0 "$pid" 2>/dev/null; then
      # In a trap, a bare return has the status from before the trap.
      wait "$pid" && return 0
      return 1
    fi
    sleep 0.1
  done
  kill -KILL "$pid"
  wait "$pid"
  return 1
}

# stop_all stops all processes by kind in the reverse order of start: loads, entry
# hosts, backend servers, then the platform.
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

# finish runs whenever the script exits.
finish() {
  local code=$?
  trap - EXIT
  stop_all
  if [ "$code" -eq 0 ]; then code=$status; fi
  if [ "$code" -eq 0 ]; then rm -rf "$run"; fi
  exit "$code"
}

# set_traps ensures that no process is left running, including after Ctrl-C.
set_traps() {
  run=$(mktemp -d)
  trap finish EXIT
  trap 'exit 130' INT
  trap 'exit 143' TERM
  trap 'exit 129' HUP
}

# start_platform starts the store on port $base and the host list on the next port.
start_platform() {
  store=127.0.0.1:$base
  hosts=127.0.0.1:$((base + 1))
  start store $bench store --listen "$store" --log "$run/store.log.json"
  start host-list $bench host-list --listen "$hosts" "$@"
  $bench await "$store" "$hosts"
}

# settings writes the settings of an entry host with the given name, region, data
# centre and port, and prints the file's name. Further sections are read from
# standard input. The port for peers is the next port.
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

# list_host adds an entry host to the host list, as the platform does.
list_host() {
  local name=$1 region=$2 centre=$3 port=$4
  $bench call PUT "http://$hosts/hosts/$name" "$(printf \
    '{"address":"127.0.0.1:%d","peer-address":"127.0.0.1:%d","region":"%s","data-centre":"%s","incarnation":1,"state":"live"}' \
    "$port" $((port + 1)) "$region" "$centre")" >/dev/null
}

# make_keys generates keys for the operators $1... The first is the chair, whose key
# is the bootstrap key.
make_keys() {
  local name
  operators=("$@")
  for name in "$@"; do
    $operate keygen --out "$run/$name.key" >"$run/$name.public"
  done
  bootstrap_key=$(tail -n 1 "$run/$1.public")
}

# operate_as runs chivesctl as operator $1 at the entry host $entry.
operate_as() {
  local name=$1
  shift
  $operate --entry "$entry" --operator "$name" --key "$run/$name.key" "$@"
}

# bootstrap_committee creates a committee of all operators.
bootstrap_committee() {
  local name members=()
  for name in "${operators[@]:1}"; do
    members+=(--member "$name=$(tail -n 1 "$run/$name.public")")
  done
  operate_as "${operators[0]}" bootstrap "${members[@]}"
}

# pool_statement prints the changes that create service $1 on a pool of $2
# endpoints on ports from $3, distributed over the places $4... (region/centre).
# Only GET requests are repeatable, and those to /long are in the long lane.
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
