#!/usr/bin/env bash
# Builds the stand-ins of the second review's scripts. It needs no network: the rig uses the
# standard library only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
(cd review/rig-2 && GOWORK=off GOFLAGS=-mod=mod go build -o ../../target/review-2/rig .)
