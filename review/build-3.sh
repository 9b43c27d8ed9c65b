#!/bin/bash
# Builds the stand-ins of the cases 11 to 15. It needs no network: the module has no dependencies.
set -e
cd "$(dirname "$0")/standin-3"
GOWORK=off GOFLAGS=-mod=mod go build -o ../../target/standin3 .
