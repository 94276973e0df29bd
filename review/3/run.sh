#!/usr/bin/env bash
# Plays the case; the exit status is 1 if the rule was broken, 0 if it held, else 2.
here="$(cd "$(dirname "$0")" && pwd)" || exit 2
cd "$here/../.." || exit 2
PYTHONPATH="target/deps:." exec python3 -B "$here/case.py"
