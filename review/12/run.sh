#!/usr/bin/env bash
# Runs the case; exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")" || exit 2
[ -x ../../target/release/knapweedfordd ] || exit 2
command -v python3 > /dev/null || exit 2
timeout --signal=INT 110 python3 case.py
code=$?
[ "$code" -le 1 ] && exit "$code"
exit 2
