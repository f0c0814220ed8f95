#!/usr/bin/env bash
# Builds the stand-ins of the third review's scripts into target/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
(cd review/rig-3 && GOWORK=off GOFLAGS=-mod=mod go build -o ../../target/rig3 .)
