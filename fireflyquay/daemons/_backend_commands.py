"""Commands for backend servers: `backend join|leave|stop|list`."""

from __future__ import annotations

import argparse
from dataclasses import replace

from fireflyquay.world import BackendRecord, BackendServer, BackendState

from ._context import (
    Context,
    add_json_option,
    add_store_option,
    parse_version,
)
from ._output import ExitCode, format_table, to_json_value
from ._record_files import load_backend
from ._record_repository import (
    ChangeResult,
    build_backend_record,
    build_record_with_state,
    make_backend_repository,
)

ACTIVE_STATES = (BackendState.JOINING, BackendState.SERVING)


def add_backend_commands(commands: argparse._SubParsersAction) -> None:
    """Add `backend join|leave|stop|list`."""
    group = commands.add_parser("backend", help="change and print backend servers")
    actions = group.add_subparsers(dest="action", required=True)
    join = actions.add_parser("join", help="register a backend server as JOINING")
    join.add_argument("file", help="TOML file that describes the backend server")
    _configure_parser(join, join_backend, writes=True)
    leave = actions.add_parser("leave", help="set LEAVING: no new requests")
    leave.add_argument("server", help="name of the backend server")
    _configure_parser(leave, leave_backend, writes=True)
    stop = actions.add_parser("stop", help="set STOPPING: drain before shutdown")
    stop.add_argument("server", help="name of the backend server")
    _configure_parser(stop, stop_backend, writes=True)
    _configure_parser(
        actions.add_parser("list", help="print all backend servers"), list_backends
    )


async def join_backend(context: Context) -> ExitCode:
    """Register the backend server of a file as JOINING."""
    backend = load_backend(context.arguments.file)
    metadata = context.make_change_metadata()
    result = await make_backend_repository(context.make_store_client()).change(
        backend.server,
        metadata,
        lambda record: build_backend_record(
            record, keep_active_state(record, backend), metadata
        ),
        context.arguments.expect_version,
    )
    return await _print_result(context, result)


async def leave_backend(context: Context) -> ExitCode:
    """Set the state LEAVING, unless the backend server is STOPPING."""
    return await _set_state(context, BackendState.LEAVING)


async def stop_backend(context: Context) -> ExitCode:
    """Set the state STOPPING."""
    return await _set_state(context, BackendState.STOPPING)


async def list_backends(context: Context) -> ExitCode:
    """Print all backend servers."""
    records = await make_backend_repository(context.make_store_client()).list()
    header = (
        "SERVER",
        "VERSION",
        "STATE",
        "POOL",
        "KIND",
        "ZONE",
        "ADDRESS",
        "SLOTS",
        "CHECKS FENCING",
    )
    rows = [_make_row(record) for record in records]
    views = [{"version": r.version, **to_json_value(r.backend)} for r in records]
    context.print(views, format_table(header, rows))
    return ExitCode.OK


def keep_active_state(
    record: BackendRecord | None, backend: BackendServer
) -> BackendServer:
    """Return the stored server if active and equal except for state, else the new."""
    if record is None or record.backend.state not in ACTIVE_STATES:
        return backend
    stored = record.backend
    return stored if replace(backend, state=stored.state) == stored else backend


async def _set_state(context: Context, state: BackendState) -> ExitCode:
    metadata = context.make_change_metadata()

    def build(record: BackendRecord | None) -> BackendRecord | None:
        # A STOPPING backend server doesn't go back to LEAVING.
        if record is not None and record.backend.state is BackendState.STOPPING:
            return None
        return build_record_with_state(record, state, metadata)

    result = await make_backend_repository(context.make_store_client()).change(
        context.arguments.server, metadata, build, context.arguments.expect_version
    )
    return await _print_result(context, result)


async def _print_result(
    context: Context, result: ChangeResult[BackendRecord]
) -> ExitCode:
    record = result.record
    server, state = record.backend.server, record.backend.state.value
    status = "is now" if result.changed else "was already"
    context.print(
        {
            "server": server,
            "state": state,
            "version": record.version,
            "changed": result.changed,
        },
        f"Backend server {server} {status} {state} (version {record.version}).",
    )
    return ExitCode.OK


def _make_row(record: BackendRecord) -> tuple[object, ...]:
    backend = record.backend
    return (
        backend.server,
        record.version,
        backend.state.value,
        backend.pool,
        backend.kind.value,
        backend.zone,
        f"{backend.host}:{backend.port}",
        backend.slots,
        "yes" if backend.checks_fencing else "no",
    )


def _configure_parser(
    parser: argparse.ArgumentParser, run: object, writes: bool = False
) -> None:
    if writes:
        parser.add_argument(
            "--expect-version",
            type=parse_version,
            metavar="N",
            help="change only if the stored version is N; 0 if not stored yet",
        )
        parser.add_argument("--who", help="name of the operator for the audit trail")
    add_store_option(parser)
    add_json_option(parser)
    parser.set_defaults(run=run)
