#!/usr/bin/env bash
# Plays the case; the exit status is 1 if the rule was broken, 0 if not, else 2.
cd "$(dirname "$0")/../.." || exit 2
PYTHONPATH="target/deps:." exec python3 -B review/1/case.py
