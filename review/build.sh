#!/bin/sh
# The stand-ins are Python: this compiles them, and checks that the dependencies of
# the deploy file's build serve them.
set -e
cd "$(dirname "$0")/.."
PYTHONPATH=target/deps:platform:.:review python3 - <<'END'
import py_compile
from pathlib import Path

for path in sorted(Path("review").rglob("*.py")):
    py_compile.compile(str(path), doraise=True)
import common.case  # noqa: E402, F401
import common.deployment  # noqa: E402, F401
import common.raw_client  # noqa: E402, F401
import common.worker  # noqa: E402, F401
END
