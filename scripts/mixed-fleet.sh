#!/usr/bin/env bash
# Runs processes of two builds together: scripts/mixed-fleet.sh OLD NEW, where
# both are directories with the programs of 'make build'. Fails if a response is
# lost, truncated, duplicated or wrong, if a configuration is lost, or if one build
# can't read data written by the other.
#
# The first part tests entry hosts with a committee. A fleet of the old build is
# replaced host by host under load, the chivesctl of each build is used with hosts
# of both builds, and the new store and backend servers reuse the old build's
# files. The second part tests the gateway, with soaks in which successive starts of
# a gateway alternate between the builds.
set -euo pipefail
if [ $# -ne 2 ]; then
  echo "usage: scripts/mixed-fleet.sh OLD NEW; each a directory with chivespoold, chivesctl, chivesbench and chivessoak" >&2
  exit 2
fi
old=$(cd "$1" && pwd)
new=$(cd "$2" && pwd)
source "$(dirname "$0")/fleet.sh"

# LOAD_TIME must cover the replacement of all hosts.
load_time=${LOAD_TIME:-24s}

# use_build makes the scripts run the programs in the directory $1.
use_build() {
  bench=$1/chivesbench
  daemon=$1/chivespoold
  operate=$1/chivesctl
}

# replace stops the process $1 and restarts it with the program in the directory
# $2.
replace() {
  local command=${commands[$1]} stopped=${commands[$1]%% *}
  stop "$1"
  eval "start $1 $2/${stopped##*/} ${command#* }"
}

# change drains and restores an endpoint with the chivesctl in the directory $1 at
# the entry host $2, and compares the output of both builds' chivesctl there.
change() {
  local entry=$2
  use_build "$1"
  accept "drain endpoint tile-1" >/dev/null
  accept "restore endpoint tile-1" >/dev/null
  compare_answers "$2"
}

# compare_answers fails if the output of the two chivesctl differs at the entry
# host $1.
compare_answers() {
  local entry=$1 statement
  for statement in "show services" "show rules" "show configuration" "show endpoints" "show committee"; do
    use_build "$old" && operate_as chipo "$statement" >"$run/answer.old" 2>&1 || status=1
    use_build "$new" && operate_as chipo "$statement" >"$run/answer.new" 2>&1 || status=1
    if ! cmp -s "$run/answer.old" "$run/answer.new"; then
      echo "FAILED: the outputs of '$statement' at $entry differ:" >&2
      diff "$run/answer.old" "$run/answer.new" >&2 || true
      status=1
    fi
  done
}

set_traps
free_base 80
echo "== entry hosts with a committee are upgraded under load"
use_build "$old"
make_keys amina ben chipo
start_platform --lag 100ms
start_backends
start_entries
set_up >/dev/null
start_load mixed --duration "$load_time"
sleep 2
change "$new" "${entries[0]}"
for index in "${!places[@]}"; do
  replace "entry-${places[$index]#*/}" "$new"
  $bench await "${entries[$index]}"
  sleep 1
  # Use one host of each build while both builds are running.
  change "$old" "${entries[$index]}"
  change "$new" "${entries[$(((index + 1) % ${#entries[@]}))]}"
done
end_load mixed
if [ "$status" -ne 0 ]; then exit "$status"; fi

echo "== the store and the backend servers are replaced and reuse the old build's files; one entry host is downgraded"
use_build "$new"
replace store "$new"
replace host-list "$new"
$bench await "$store" "$hosts"
list_hosts() {
  local index place
  for index in "${!places[@]}"; do
    place=${places[$index]}
    list_host "${place#*/}-1" "${place%/*}" "${place#*/}" $((base + 2 + 2 * index))
  done
}
list_hosts
for service in "${services[@]}"; do replace "backend-$service" "$new"; done
$bench await "${admins[@]}"
replace "entry-${places[0]#*/}" "$old"
$bench await "${entries[0]}"
sleep 2
for address in "${entries[@]}"; do compare_answers "$address"; done
change "$old" "${entries[1]}"
start_load files --duration 4s --all-answered
end_load files
if [ "$status" -ne 0 ]; then exit "$status"; fi
stop_all

echo "== gateways of both builds on one store"
mkdir "$run/starts"
cat >"$run/daemon" <<EOF
#!/usr/bin/env bash
# Alternates between the builds for each gateway and each start.
file=\${@: -1}
name=\$(basename "\$file" .ini)
echo start >>"$run/starts/\$name.\$(basename "\$(dirname "\$file")")"
starts=\$(wc -l <"$run/starts/\$name.\$(basename "\$(dirname "\$file")")")
if [ \$(((\${name#g} + starts) % 2)) -eq 0 ]; then build="$old"; else build="$new"; fi
echo "\$build" >>"$run/builds"
exec "\$build/chivespoold" "\$@"
EOF
chmod +x "$run/daemon"
"$new/chivessoak" --daemon "$run/daemon" --out "$run/calm" --seeds 1-2 --kinds stop-in-turn,publish --trouble 12s || status=1
"$new/chivessoak" --daemon "$run/daemon" --out "$run/soak" --seeds "${SEEDS:-1-4}" --trouble 12s || status=1
sort "$run/builds" | uniq -c | sed "s|$old\$|starts of the old build|; s|$new\$|starts of the new build|"
if [ "$status" -eq 0 ]; then
  echo "old and new processes are compatible: nothing was lost, truncated, duplicated or wrong"
else
  cp -r "$run" out/mixed-fleet 2>/dev/null || true
  echo "FAILED; see the output above and the logs in out/mixed-fleet" >&2
fi
