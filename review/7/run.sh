#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# With TROUBLE=0 there is no foreign row, and no agent is killed.
here=$(cd "$(dirname "$0")" && pwd)
. "$here/../python.sh"
[ -x "$here/../../target/release/knapweedfordd" ] || { echo "build the deploy file first" >&2; exit 2; }
timeout --signal=INT 110 "$PYTHON" "$here/case.py"
code=$?
[ "$code" -le 1 ] && exit "$code"
exit 2
