"""Play scenario files: ``python -m proofs.run FILE...``."""

from __future__ import annotations

import argparse
import sys
from pathlib import Path

from ._language import ScriptError, parse_scripts
from ._runner import judge_script


def main() -> int:
    """Play each scenario; return 0 only if all held, 2 for a bad file."""
    parser = argparse.ArgumentParser(prog="python -m proofs.run", description=__doc__)
    parser.add_argument("files", nargs="+", metavar="FILE")
    broken = 0
    for name in parser.parse_args().files:
        try:
            scripts = parse_scripts(Path(name).read_text())
        except (OSError, UnicodeDecodeError, ScriptError) as error:
            print(f"{name}: {error}", file=sys.stderr)
            return 2
        for script in scripts:
            verdict = judge_script(script)
            print(f"{verdict.title}: {verdict.served:.0%} of {verdict.requests} served")
            for violation in verdict.violations:
                print(f"  {violation}")
            broken += bool(verdict.violations)
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
