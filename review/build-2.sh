#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the second review start: compiles them, and
# checks that they find their dependencies in target/deps. Needs no network.
set -euo pipefail
cd "$(dirname "$0")/.."
export PYTHONPATH=target/deps:platform:.:review PYTHONPYCACHEPREFIX=target/review-2
for case in review/6 review/7 review/8 review/9 review/10; do
    [ -f "$case/case.py" ] && python3 -m py_compile "$case/case.py"
done
python3 -c "import fleet_2, fleetwire.tests.store_standin, fleetwire.tests.worker_standin"
