#!/usr/bin/env bash
# Plays the case: exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. With
# TROUBLE=0 it does the same without the disruption.
cd "$(dirname "$0")" || exit 2
. ../python.sh
export TROUBLE="${TROUBLE:-1}"
"$PYTHON" -B play.py
case $? in
    0) exit 0 ;;
    10) exit 1 ;;
    *) exit 2 ;;
esac
