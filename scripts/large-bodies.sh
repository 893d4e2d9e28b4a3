#!/usr/bin/env bash
# Sends requests and responses of 200 MB through an entry host. Fails if its peak
# memory grows by 64 MB or more, or if a response is truncated.
set -euo pipefail
source "$(dirname "$0")/processes.sh"

size=200000000
max_growth_kb=65536

peak_kb() { awk '/^VmHWM/ {print $2}' "/proc/$(pid_of entry)/status"; }

make -s build
set_traps
free_base 60
make_keys amina
start_platform
start backend $bench backend --admin "127.0.0.1:$((base + 20))" --name tile --count 1 --first "127.0.0.1:$((base + 21))"
$bench await "127.0.0.1:$((base + 20))"
file=$(settings entry nairobi nairobi-a $((base + 2)) <<<"[callers]
hold-time = 100ms
[operators]
bootstrap-key = $bootstrap_key")
list_host entry nairobi nairobi-a $((base + 2))
start entry $daemon --settings "$file"
entry=127.0.0.1:$((base + 2))
$bench await "$entry"
bootstrap_committee >/dev/null
operate_as amina "propose $(pool_statement tile 1 $((base + 21)) nairobi/nairobi-a)" >/dev/null

before=$(peak_kb)
$bench load --entry "$entry" --journal "http://127.0.0.1:$((base + 20))" --service tile --place nairobi/nairobi-a \
  --label large --rate 1 --duration 3s --callers 1 --short 1ms --long-share 0 --post-share 1 --resends 0 \
  --request-bytes $size --answer-bytes $size --timeout 60s || status=1
growth=$(($(peak_kb) - before))
echo "bodies of $size bytes: the daemon's peak memory grew by $growth KB from $before KB, limit $max_growth_kb KB"
if [ "$growth" -ge "$max_growth_kb" ]; then status=1; fi
