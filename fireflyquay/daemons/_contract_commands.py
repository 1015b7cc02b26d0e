"""Commands for contracts: `contract apply|show|list|history`."""

from __future__ import annotations

import argparse

from fireflyquay.world import ContractRecord, CustomerId

from ._change_view import format_change, make_change_views
from ._context import (
    Context,
    add_json_option,
    add_store_option,
    parse_version,
)
from ._output import ExitCode, format_table, format_tree, redact_tokens, to_json_value
from ._record_files import load_contract
from ._record_repository import build_contract_record, make_contract_repository


def add_contract_commands(commands: argparse._SubParsersAction) -> None:
    """Add `contract apply|show|list|history`."""
    group = commands.add_parser("contract", help="change and print contracts")
    actions = group.add_subparsers(dest="action", required=True)
    apply = actions.add_parser("apply", help="apply a contract file")
    apply.add_argument("file", help="TOML file that describes the contract")
    apply.add_argument(
        "--expect-version",
        type=parse_version,
        metavar="N",
        help="change only if the stored version is N; 0 if not stored yet",
    )
    apply.add_argument("--who", help="name of the operator for the audit trail")
    _configure_parser(apply, apply_contract)
    show = actions.add_parser("show", help="print a contract")
    show.add_argument("customer", help="name of the customer")
    _configure_parser(show, show_contract)
    _configure_parser(
        actions.add_parser("list", help="print all contracts"), list_contracts
    )
    history = actions.add_parser(
        "history", help="print the recent changes of a contract"
    )
    history.add_argument("customer", help="name of the customer")
    _configure_parser(history, show_history)


async def apply_contract(context: Context) -> ExitCode:
    """Apply a contract file."""
    contract = load_contract(context.arguments.file)
    metadata = context.make_change_metadata()
    result = await make_contract_repository(context.make_store_client()).change(
        contract.customer,
        metadata,
        lambda record: build_contract_record(record, contract, metadata),
        context.arguments.expect_version,
    )
    version = result.record.version
    status = "applied" if result.changed else "already in force"
    context.print(
        {"customer": contract.customer, "version": version, "changed": result.changed},
        f"Contract {contract.customer} {status} as version {version}.",
    )
    return ExitCode.OK


async def show_contract(context: Context) -> ExitCode:
    """Print a contract without its token."""
    customer = CustomerId(context.arguments.customer)
    record = await make_contract_repository(context.make_store_client()).read_existing(
        customer
    )
    view = make_contract_view(record)
    context.print(view, format_tree(view))
    return ExitCode.OK


async def list_contracts(context: Context) -> ExitCode:
    """Print all contracts."""
    records = await make_contract_repository(context.make_store_client()).list()
    rows = [
        (
            r.contract.customer,
            r.version,
            r.contract.state.value,
            f"{r.contract.share:g}",
        )
        for r in records
    ]
    views = [make_contract_view(record) for record in records]
    context.print(views, format_table(("CUSTOMER", "VERSION", "STATE", "SHARE"), rows))
    return ExitCode.OK


async def show_history(context: Context) -> ExitCode:
    """Print the recent changes of a contract, oldest first."""
    customer = CustomerId(context.arguments.customer)
    record = await make_contract_repository(context.make_store_client()).read_existing(
        customer
    )
    changes = make_change_views(f"contracts/{customer}", record)
    context.print(changes, "\n".join(format_change(change) for change in changes))
    return ExitCode.OK


def make_contract_view(record: ContractRecord) -> dict:
    """Return the JSON value of a contract, with its token redacted."""
    view = redact_tokens(to_json_value(record.contract))
    view["tiers"] = {kind: tier.name for kind, tier in record.contract.tiers.items()}
    return {"version": record.version, **view}


def _configure_parser(parser: argparse.ArgumentParser, run: object) -> None:
    add_store_option(parser)
    add_json_option(parser)
    parser.set_defaults(run=run)
