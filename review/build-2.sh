#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/6 to review/10 start. It needs no network.
set -euo pipefail
cd "$(dirname "$0")/standin-2"
GOWORK=off GOFLAGS=-mod=mod go build -o ../../target/standin-2 .
