"""Commands `entry` and `config check`: the daemon and its settings."""

from __future__ import annotations

import argparse
from pathlib import Path

from fireflyquay.checks import parse_document, read_text
from fireflyquay.gateway import GatewaySettings
from fireflyquay.interface import check_settings
from fireflyquay.world import Code, FireflyquayError

from ._context import Context, add_json_option
from ._output import ExitCode


def add_entry_commands(commands: argparse._SubParsersAction) -> None:
    """Add `entry` and `config check`."""
    entry = commands.add_parser("entry", help="run an entry VM's daemon")
    entry.add_argument(
        "--config", required=True, metavar="FILE", help="settings file in TOML"
    )
    entry.set_defaults(run=run_daemon, json=False, handles_signals=True)
    config = commands.add_parser("config", help="check settings files")
    actions = config.add_subparsers(dest="action", required=True)
    check = actions.add_parser("check", help="print all faults of a settings file")
    check.add_argument("file", help="settings file in TOML")
    check.add_argument(
        "--gateway", action="store_true", help="check the file as settings of a gateway"
    )
    add_json_option(check)
    check.set_defaults(run=check_config)


async def run_daemon(context: Context) -> ExitCode:
    """Run the entry VM's daemon until it is stopped."""
    from fireflyquay.interface import run_entry

    try:
        await run_entry(Path(context.arguments.config))
    except OSError as error:
        sentence = f"The daemon failed with an operating system error: {error}."
        raise FireflyquayError(Code.BAD_SETTINGS, sentence) from error
    return ExitCode.OK


async def check_config(context: Context) -> ExitCode:
    """Print all faults of a settings file."""
    path = context.arguments.file
    text = read_text(path, Code.BAD_SETTINGS)
    if context.arguments.gateway:
        faults = list(parse_document(text, GatewaySettings)[1])
    else:
        faults = check_settings(text)
    output = "\n".join(fault.sentence for fault in faults)
    context.print(faults, output or f"{path} has no faults.")
    return ExitCode.FAILED if faults else ExitCode.OK
