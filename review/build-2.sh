#!/bin/sh
# Builds the stand-ins of the cases of the second review.
set -e
cd "$(dirname "$0")/.."
go build -o target/standins2 ./review/_standins2
