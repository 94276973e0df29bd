#!/usr/bin/env bash
# The stand-ins are Python and need only the libraries of the deploy file: this checks
# that they can be imported after its build.
set -euo pipefail
cd "$(dirname "$0")/.."
PYTHONPATH="target/deps:." python3 -B -c "import review.common.site"
