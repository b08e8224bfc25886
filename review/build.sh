#!/usr/bin/env bash
# Builds the stand-ins of the cases. They are Python programs on the standard library, so this checks
# that a Python 3.11 or later is there and that each file compiles; it writes nothing.
set -eu
cd "$(dirname "$0")"
. ./python.sh
find . -name '*.py' -print0 | xargs -0 -n1 "$PYTHON" -B -c \
    'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")'
echo "the stand-ins of the cases are ready ($("$PYTHON" --version))"
