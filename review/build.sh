#!/usr/bin/env bash
# Builds the stand-ins and the test driver of the review's cases into target/. It needs no network:
# the module in review/harness uses the standard library alone.
set -euo pipefail
cd "$(dirname "$0")/harness"
mkdir -p ../../target
GOFLAGS=-mod=mod GOWORK=off go build -o ../../target/review-harness .
