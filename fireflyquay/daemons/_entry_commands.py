"""Commands `entry` and `config check`: the daemon and its settings."""

from __future__ import annotations

import argparse
from pathlib import Path

import msgspec

from fireflyquay.checks import parse_document, read_text
from fireflyquay.gateway import GatewaySettings
from fireflyquay.interface import check_settings
from fireflyquay.world import DECODE_ERRORS, Code, FireflyquayError, FleetConfig

from ._context import Context, add_json_option
from ._fleet_check import FleetFinding, check_fleet, describe_changes
from ._output import ExitCode, UsageError


def add_entry_commands(commands: argparse._SubParsersAction) -> None:
    """Add `entry` and `config check`."""
    entry = commands.add_parser("entry", help="run an entry VM's daemon")
    entry.add_argument(
        "--config", required=True, metavar="FILE", help="settings file in TOML"
    )
    entry.set_defaults(run=run_daemon, json=False, handles_signals=True)
    config = commands.add_parser("config", help="check settings files")
    actions = config.add_subparsers(dest="action", required=True)
    check = actions.add_parser(
        "check", help="print all faults of a settings file or a fleet configuration"
    )
    checked = check.add_mutually_exclusive_group(required=True)
    checked.add_argument("file", nargs="?", help="settings file in TOML")
    checked.add_argument(
        "--fleet", metavar="FILE", help="fleet configuration as stored, in JSON"
    )
    check.add_argument(
        "--in-force",
        metavar="FILE",
        help="with --fleet: the version in force, to print the differences",
    )
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
    """Print all faults of a settings file or a fleet configuration."""
    if context.arguments.fleet is not None and context.arguments.gateway:
        raise UsageError(Code.BAD_SETTINGS, "Use either --fleet or --gateway.")
    if context.arguments.fleet is not None:
        return _check_fleet(context)
    if context.arguments.in_force is not None:
        sentence = "--in-force needs the option --fleet."
        raise UsageError(Code.BAD_SETTINGS, sentence)
    path = context.arguments.file
    text = read_text(path, Code.BAD_SETTINGS)
    if context.arguments.gateway:
        faults = list(parse_document(text, GatewaySettings)[1])
    else:
        faults = check_settings(text)
    output = "\n".join(fault.sentence for fault in faults)
    context.print(faults, output or f"{path} has no faults.")
    return ExitCode.FAILED if faults else ExitCode.OK


def _check_fleet(context: Context) -> ExitCode:
    """Print the findings on a fleet configuration, and its differences."""
    arguments = context.arguments
    config, findings = _load_fleet(context, arguments.fleet)
    changes: list[str] = []
    if arguments.in_force is not None:
        current, errors = _load_fleet(context, arguments.in_force)
        if current is None:
            findings += [FleetFinding(arguments.in_force, it.problem) for it in errors]
        elif config is not None:
            changes = describe_changes(current, config)
    lines = [f"{it.place}: {it.problem}." for it in findings]
    lines = lines or [f"{arguments.fleet} has no faults."]
    if arguments.in_force is not None and config is not None:
        lines += ["", *(changes or ["Nothing differs from the version in force."])]
    context.print({"findings": findings, "changes": changes}, "\n".join(lines))
    return ExitCode.FAILED if findings else ExitCode.OK


def _load_fleet(
    context: Context, path: str
) -> tuple[FleetConfig | None, list[FleetFinding]]:
    """Return a configuration and its findings; raise UsageError if it is no JSON."""
    platform = context.get_platform()
    try:
        data = Path(path).read_bytes()
        msgspec.json.decode(data)
    except (OSError, *DECODE_ERRORS) as error:
        sentence = f"Cannot read {path}: {error}."
        raise UsageError(Code.BAD_SETTINGS, sentence) from error
    try:
        config, ignored = platform.decode_config(data), platform.list_ignored(data)
    except DECODE_ERRORS as error:
        return None, [_make_decode_finding(str(error))]
    findings = [FleetFinding(place, problem) for place, problem in ignored]
    return config, findings + check_fleet(config)


def _make_decode_finding(message: str) -> FleetFinding:
    """Return the finding of a decoder's message, which ends with the place."""
    problem, _, place = message.rpartition(" - at ")
    place = place.strip("`").removeprefix("$.")
    return FleetFinding(place, problem) if problem else FleetFinding("", message)
