"""Argument parser and entry point of the command line."""

from __future__ import annotations

import argparse
import asyncio
import importlib.metadata
import sys
from collections.abc import Sequence

from fireflyquay.signals import admit_signals
from fireflyquay.world import FireflyquayError

from ._backend_commands import add_backend_commands
from ._context import Context, make_context
from ._contract_commands import add_contract_commands
from ._diagnostic_commands import add_diagnostic_commands
from ._entry_commands import add_entry_commands
from ._output import ExitCode, format_error, get_exit_code
from ._platform_access import PlatformAccess
from ._request_commands import add_request_command
from ._rollout_commands import add_rollout_commands

INTERRUPTED_EXIT_CODE = 130
EXIT_CODES_HELP = """\
exit codes:
  0  success
  1  rejected or failed
  2  invalid arguments
  3  version conflict; nothing was changed
  4  the store or an entry VM does not respond
  5  the request may have run
"""


def main(
    argv: Sequence[str] | None = None, platform: PlatformAccess | None = None
) -> int:
    """Run one command and return its exit code."""
    try:
        arguments = make_parser().parse_args(argv)
    except SystemExit as stop:
        return stop.code if isinstance(stop.code, int) else ExitCode.USAGE
    if not arguments.handles_signals:
        admit_signals()
    try:
        return asyncio.run(run_command(make_context(arguments, platform)))
    except KeyboardInterrupt:
        return INTERRUPTED_EXIT_CODE


async def run_command(context: Context) -> int:
    """Run the parsed command and return its exit code; print errors to stderr."""
    arguments = context.arguments
    try:
        return int(await arguments.run(context))
    except FireflyquayError as error:
        print(format_error(error, arguments.json), file=sys.stderr)
        return int(get_exit_code(error))


def make_parser() -> argparse.ArgumentParser:
    """Return the parser of all commands."""
    parser = argparse.ArgumentParser(
        prog="fireflyquay",
        description="Run and operate a scheduler for model engines and services.",
        epilog=EXIT_CODES_HELP,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    version = importlib.metadata.version("fireflyquay")
    parser.add_argument("--version", action="version", version=version)
    parser.set_defaults(handles_signals=False)
    commands = parser.add_subparsers(dest="command", required=True)
    add_entry_commands(commands)
    add_contract_commands(commands)
    add_backend_commands(commands)
    add_rollout_commands(commands)
    add_diagnostic_commands(commands)
    add_request_command(commands)
    return parser
