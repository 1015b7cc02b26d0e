"""Diagnostic commands: `trace`, `audit` and `status`."""

from __future__ import annotations

import argparse
from typing import Any

import msgspec

from fireflyquay.world import DECODE_ERRORS, Code, FireflyquayError

from ._change_view import format_change, make_change_views
from ._context import (
    Context,
    add_entry_options,
    add_json_option,
    add_store_option,
)
from ._entry_query import query_entries
from ._log_reader import find_lines, format_line, read_logs
from ._output import ExitCode, format_tree
from ._record_repository import (
    BACKENDS,
    CONTRACTS,
    make_backend_repository,
    make_contract_repository,
)


def add_diagnostic_commands(commands: argparse._SubParsersAction) -> None:
    """Add `trace`, `audit` and `status`."""
    trace = commands.add_parser("trace", help="print the log lines of a request")
    trace.add_argument("id", help="id or idempotency key of the request")
    trace.add_argument(
        "logs", nargs="+", metavar="LOG", help="log file, or - for stdin"
    )
    trace.add_argument(
        "--around",
        type=float,
        default=0.0,
        metavar="SECONDS",
        help="also print lines without a request id up to SECONDS before or after",
    )
    add_json_option(trace)
    trace.set_defaults(run=trace_request)
    audit = commands.add_parser("audit", help="print recent changes by operators")
    _configure_parser(audit, show_audit)
    status = commands.add_parser(
        "status", help="print the status of the listed entry VMs"
    )
    add_entry_options(status)
    status.add_argument("--json", action="store_true", help="print JSON for scripts")
    status.set_defaults(run=show_status)


async def trace_request(context: Context) -> ExitCode:
    """Print the lines of a request from the logs of several VMs, ordered by time."""
    arguments = context.arguments
    lines, invalid = read_logs(arguments.logs)
    found = find_lines(lines, arguments.id, arguments.around)
    if invalid:
        context.print_to_stderr(f"{invalid} lines are not valid log lines.")
    if not found:
        sentence = f"No log line has the id, key or fingerprint {arguments.id}."
        raise FireflyquayError(Code.NOT_FOUND, sentence)
    counts = (line.fields.get("left_out") for line in found)
    suppressed = sum(count for count in counts if isinstance(count, int))
    if suppressed:
        context.print_to_stderr(
            f"{suppressed} log lines were suppressed by the log's rate limit."
        )
    text = "\n".join(format_line(line) for line in found)
    context.print([line.fields for line in found], text)
    return ExitCode.OK


async def show_audit(context: Context) -> ExitCode:
    """Print the recent changes of all contracts and backend servers."""
    store = context.make_store_client()
    changes = []
    for contract in await make_contract_repository(store).list():
        changes += make_change_views(CONTRACTS + contract.contract.customer, contract)
    for backend in await make_backend_repository(store).list():
        changes += make_change_views(BACKENDS + backend.backend.server, backend)
    changes.sort(key=lambda change: change.at)
    context.print(changes, "\n".join(format_change(change) for change in changes))
    return ExitCode.OK


async def show_status(context: Context) -> ExitCode:
    """Print the status of each listed entry VM; fail if one sends none."""
    responses = await query_entries(context, "/v1/status")
    statuses: dict[str, Any] = {}
    for response in responses:
        name = f"{response.host}:{response.port}"
        statuses[name] = _decode_status(response.body)
    context.print(statuses, format_tree(statuses, inline=True))
    is_incomplete = any(response.body is None for response in responses)
    return ExitCode.UNREACHABLE if is_incomplete else ExitCode.OK


def _decode_status(body: bytes | None) -> Any:
    if body is None:
        return "no answer"
    try:
        return msgspec.json.decode(body)
    except DECODE_ERRORS:
        return "invalid response"


def _configure_parser(parser: argparse.ArgumentParser, run: object) -> None:
    add_store_option(parser)
    add_json_option(parser)
    parser.set_defaults(run=run)
