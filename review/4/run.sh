#!/bin/sh
# Runs the case: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# With TROUBLE=0 the same without the disruption.
cd "$(dirname "$0")" || exit 2
root=$(cd ../.. && pwd) || exit 2
if [ ! -x "$root/target/pepperlever" ] || [ ! -x "$root/target/standins2" ]; then
	echo "build the project and run review/build-2.sh first" >&2
	exit 2
fi
exec "$root/target/standins2" told-alone "$root" "$PWD/record.txt"
