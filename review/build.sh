#!/bin/sh
# Builds the stand-ins of the scripts into target/.
set -eu
cd "$(dirname "$0")/standin"
GOWORK=off GOFLAGS= go build -o ../../target/review-standin .
