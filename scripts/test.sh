#!/usr/bin/env bash
# Runs the tests of the packages given as arguments. The tests that KNOWN-RED.txt
# lists are skipped at first. If the others pass, they are run one by one: the result
# of each is printed, and a failure does not fail the run. Tests whose names begin with
# TestUntrusted measure the memory of processes; they run after those of all packages,
# so that no other test takes the processor from these processes.
set -euo pipefail
cd "$(dirname "$0")/.."
packages=("$@")
known=()
if [ -f KNOWN-RED.txt ]; then
  mapfile -t known < <(sed -n 's/^test: \([^ ]*\) \([^ ]*\)$/\1 \2/p' KNOWN-RED.txt)
fi
skip=(^TestUntrusted)
for entry in "${known[@]}"; do skip+=("^${entry#* }\$"); done
go test -skip "$(IFS='|'; echo "${skip[*]}")" "${packages[@]}"
untrusted="$(IFS='|'; echo "${skip[*]:1}")"
go test -p 1 -run '^TestUntrusted' ${untrusted:+-skip "$untrusted"} ./platform
for entry in "${known[@]}"; do
  if output=$(go test -count=1 -run "^${entry#* }\$" "./${entry% *}" 2>&1); then
    echo "known red, passed in this run: $entry"
  else
    echo "known red, failed as listed: $entry"
    grep -E -- '--- FAIL|Error:|Messages:' <<<"$output" | cut -c1-200 | head -5 || true
  fi
done
