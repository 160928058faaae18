#!/usr/bin/env bash
# Builds the stand-in that the scripts of the second review start, into target/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
GOWORK=off GOFLAGS=-mod=mod go build -C review/standin-2 -o ../../target/review-standin-2 .
