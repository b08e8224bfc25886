# Sets PYTHON to a Python of version 3.11 or later; to be sourced.
PYTHON=
for candidate in python3 /usr/bin/python3 python3.13 python3.12 python3.11; do
    if "$candidate" -c 'import sys; sys.exit(sys.version_info < (3, 11))' 2>/dev/null; then
        PYTHON=$candidate
        break
    fi
done
if [ -z "$PYTHON" ]; then
    echo "a Python of version 3.11 or later is needed" >&2
    exit 2
fi
