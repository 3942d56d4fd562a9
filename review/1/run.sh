#!/usr/bin/env bash
# Case 1. Exit status: 1 the rule was broken, 0 it held, 2 the case couldn't run.
# TROUBLE=0: the same with jobs of the class at their usual rate.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/pepperlever ] || { echo "can't run: target/pepperlever isn't built"; exit 2; }
[ -x target/review-harness ] || bash review/build.sh || exit 2
exec target/review-harness burst review/1
