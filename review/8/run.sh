#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# With TROUBLE=0 no worker hands out wrong bytes.
root=$(cd "$(dirname "$0")/../.." && pwd)
[ -x "$root/target/review-2/fleet" ] || { echo "run review/build-2.sh first" >&2; exit 2; }
exec "$root/target/review-2/fleet" "$root" "$root/review/8" garbled
