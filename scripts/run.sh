#!/usr/bin/env bash
# Starts the stand-ins and four entry daemons for each example deployment on
# loopback and runs them until it is interrupted. With ONCE=1 it queries every
# service, prints for each an answer, its coverage and a latency histogram, and
# stops. It requires the programs in bin/ (make build).
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p out
users=(association tatra)
pids=()
logs=()

stop() {
  trap - EXIT INT TERM
  for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
}
trap stop EXIT
trap 'exit 130' INT TERM

start() { # LOG_FILE COMMAND [ARGUMENT...]
  local log=$1
  shift
  "$@" >"$log" 2>&1 &
  pids+=($!)
  logs+=("$log")
}

# A process that cannot bind its port exits at once, and the process that holds the
# port could answer the queries in its place. So all started processes must be running.
require_running() {
  for i in "${!pids[@]}"; do
    if ! kill -0 "${pids[$i]}" 2>/dev/null; then
      echo "a process has ended; the end of ${logs[$i]}:" >&2
      tail -n 5 "${logs[$i]}" >&2
      return 1
    fi
  done
}

apply() { # USER OPERATORS_ADDRESS
  bin/lovagegapctl --address "$2" apply --yes "examples/$1/settings.json" >"out/$1-apply.log" 2>&1 || {
    echo "settings of $1 were not applied:" >&2
    tail -n 5 "out/$1-apply.log" >&2
    return 1
  }
}

query() { # USER
  bin/lovagegap-standin load --deployment "examples/$1/deployment.json" \
    --wait 20s --warm-up --rate 100 --count 400 --deadline 1s --strict
}

for user in "${users[@]}"; do
  start "out/$user-standin.log" bin/lovagegap-standin serve --deployment "examples/$user/deployment.json"
  for n in 1 2 3 4; do
    start "out/$user-$n.log" bin/lovagegapd --config "examples/$user/lovagegapd-$n.json"
  done
done
sleep 0.5
require_running
apply association 127.0.0.1:17110
apply tatra 127.0.0.1:27110

if [ "${ONCE:-}" = 1 ]; then
  failed=0
  for user in "${users[@]}"; do query "$user" || failed=1; done
  require_running
  exit "$failed"
fi
echo "association: entry daemons 127.0.0.1:17100-17103, operators 17110-17113, platform 17000, faults 17001"
echo "tatra:       entry daemons 127.0.0.1:27100-27103, operators 27110-27113, platform 27000, faults 27001"
echo "try: curl -s -d '{\"query\":{\"text\":\"relay\"}}' http://127.0.0.1:27100/v1/users/tatra/services/live-results/query"
echo "     bin/lovagegapctl --address 127.0.0.1:27110 fleet"
echo "     bin/lovagegap-standin load --deployment examples/tatra/deployment.json --rate 200 --count 1000"
echo "running; press Ctrl-C to stop"
wait
