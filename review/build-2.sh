#!/usr/bin/env bash
# Checks that the stand-ins of the scripts 6 to 10 can be loaded. They are Python: the
# project's own store (peridotspoke/platform/storestandin.py) and common-2/site2.py.
# Run the build of deploy/system.toml before.
set -euo pipefail
cd "$(dirname "$0")/.."
PYTHONPATH=target/deps:review/common-2:. python3 -B -c "import site2"
