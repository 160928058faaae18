#!/usr/bin/env bash
# Runs the simulations and benchmarks, prints the results as Markdown tables for
# docs/MEASUREMENTS.md and writes the pictures of that page.
# Usage: make bench [PICTURES=docs/pictures]
set -euo pipefail
cd "$(dirname "$0")/.."

# gobench runs the benchmarks of one package that match a pattern and prints their
# result lines: gobench PACKAGE PATTERN BENCHTIME [GO TEST FLAG...]
gobench() {
	local package=$1 pattern=$2 time=$3
	shift 3
	go test -run '^$' -bench "$pattern" -benchtime "$time" -benchmem "$@" "$package" | grep -E '^(pkg|Benchmark|---|FAIL)'
}

echo "# Measurements"
echo
echo "- date: $(date -u '+%Y-%m-%d %H:%M UTC')"
echo "- commit: $(git rev-parse --short HEAD)"
echo "- machine: $(nproc) processors, $(sed -n 's/^model name.*: //p' /proc/cpuinfo | head -1), $(go version | cut -d' ' -f3,4)"
echo "- load average before: $(cut -d' ' -f1-3 /proc/loadavg)"
echo
echo "## Decisions (simulation, virtual time)"
echo
bin/lovagegap-standin bench --pictures "${PICTURES:-docs/pictures}"
echo "## Cost of a sub-request (loopback)"
echo
echo '```'
gobench ./entry/engine 'FanOut|Standins' 200x -cpu 1,4
gobench ./entry/upstreams 'Exchange' 5000x
gobench ./core/query 'Query' 1000x
gobench ./core/upstream 'PickDone|SetMembers' 200ms
gobench ./core/quota '.' 200ms
gobench ./core/admission '.' 200ms
echo '```'
echo
echo "Where the time of a 270-shard query goes (one core, stand-ins included):"
echo
echo '```'
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
go test -c -o "$work/engine.test" ./entry/engine
"$work/engine.test" -test.run '^$' -test.bench 'BenchmarkFanOut' -test.benchtime 300x -test.cpu 1 \
	-test.cpuprofile "$work/cpu.prof" >/dev/null
go tool pprof -top -cum -nodecount 400 "$work/engine.test" "$work/cpu.prof" 2>/dev/null |
	grep -E 'Total samples|Syscall6|lovagegap|ReadResponse|net\.\(\*conn\)|newstack|mallocgc|gcBgMarkWorker|runtime.schedule$' | sed -n '1,30p'
echo '```'
echo
echo "- load average after: $(cut -d' ' -f1-3 /proc/loadavg)"
