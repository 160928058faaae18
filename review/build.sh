#!/usr/bin/env bash
# Builds the stand-ins of the cases. Run it after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
GOWORK=off GOFLAGS=-mod=mod go build -C review/standin -o ../../target/review/standin .
