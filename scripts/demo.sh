#!/usr/bin/env bash
# Runs a whole site on loopback: 3 control hosts, 6 entry hosts in 3 failure
# domains, and the lab's fabric, backend servers and callers. Arguments go to
# "cassiawood-lab demo". Ends every process that it started, by its id.
set -euo pipefail
cd "$(dirname "$0")/.."

logs=data/logs
rm -rf data/control-* "$logs"
mkdir -p "$logs"
if [ ! -f data/keys/tokens.json ]; then
  bin/cassiawood keys -out data/keys -hosts 127.0.9.1:7443,127.0.9.2:7443,127.0.9.3:7443 \
    -teams shop,print-room,site >"$logs/keys.log"
  ln -s "$(cd data/keys && ls tokens-*.json | tail -1)" data/keys/tokens.json
fi

controls=()
hosts=()
finish() {
  # Entry hosts first: their planned stop needs the control hosts.
  kill "${hosts[@]}" 2>/dev/null || true
  wait "${hosts[@]}" 2>/dev/null || true
  kill "${controls[@]}" 2>/dev/null || true
  wait "${controls[@]}" 2>/dev/null || true
}
trap finish EXIT

start() { # binary, name
  "bin/$1" -settings "examples/demo/$2.json" >"$logs/$2.log" 2>&1 &
  started=$!
  echo "$!" >"$logs/$2.pid"
}

# restart stops an entry host as planned and starts it again.
restart() { # name
  local pid code=0
  pid=$(cat "$logs/$1.pid")
  kill "$pid"
  wait "$pid" || code=$?
  echo "planned stop of $1: exit code $code"
  mv "$logs/$1.log" "$logs/$1-first.log"
  start cassiawood-entry "$1"
  hosts+=("$started")
}

for host in control-1 control-2 control-3; do
  start cassiawood-control "$host"
  controls+=("$started")
done
entries=()
for domain in a b c; do
  for number in 1 2; do
    start cassiawood-entry "entry-$domain$number"
    hosts+=("$started")
    index=$(printf '%d' "'$domain")
    address="127.0.$((index - 96)).$number"
    entries+=(-entry "entry-$domain$number,$domain,$address:6081" -announce "http://$address:8080/v1/announce")
  done
done

# A save is refused until an entry host of every failure domain has joined.
for team in shop print-room; do
  for attempt in $(seq 1 30); do
    if bin/cassiawood save -keep-file -settings "data/keys/team-$team/cassiawood.json" \
      "examples/demo/$team.document" >"$logs/save-$team.log" 2>&1; then
      break
    fi
    sleep 0.5
  done
  cat "$logs/save-$team.log"
done

# order-desk has long connections, sheet-print a new one for each 3 requests. One
# backend server drains and one entry host restarts meanwhile.
bin/cassiawood-lab demo "${entries[@]}" -service order-desk,10.20.0.1:443 -service sheet-print,10.20.0.2:443,3 \
  -at "8s drain order-desk-1" "$@" &
lab=$!
sleep 12
restart entry-b1
code=0
wait "$lab" || code=$?
exit "$code"
