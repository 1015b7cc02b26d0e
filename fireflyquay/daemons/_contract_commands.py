"""Commands on contracts."""

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
    family = commands.add_parser("contract", help="change and read contracts")
    actions = family.add_subparsers(dest="action", required=True)
    apply = actions.add_parser("apply", help="put a contract file in force")
    apply.add_argument("file", help="TOML file with the contract")
    apply.add_argument(
        "--expect-version",
        type=parse_version,
        metavar="N",
        help="change only version N; 0 for a new one",
    )
    apply.add_argument("--who", help="operator's name for the audit trail")
    _configure_parser(apply, apply_contract)
    show = actions.add_parser("show", help="print a contract")
    show.add_argument("customer", help="its name")
    _configure_parser(show, show_contract)
    _configure_parser(
        actions.add_parser("list", help="print all contracts"), list_contracts
    )
    history = actions.add_parser("history", help="print a contract's changes")
    history.add_argument("customer", help="its name")
    _configure_parser(history, show_history)


async def apply_contract(context: Context) -> ExitCode:
    """Put a contract file in force."""
    contract = load_contract(context.arguments.file)
    metadata = context.make_change_metadata()
    result = await make_contract_repository(context.open_store()).change(
        contract.customer,
        metadata,
        lambda record: build_contract_record(record, contract, metadata),
        context.arguments.expect_version,
    )
    version = result.record.version
    word = "applied" if result.changed else "already in force"
    context.print(
        {"customer": contract.customer, "version": version, "changed": result.changed},
        f"Contract {contract.customer} {word} as version {version}.",
    )
    return ExitCode.OK


async def show_contract(context: Context) -> ExitCode:
    """Print a contract with its token hidden."""
    customer = CustomerId(context.arguments.customer)
    record = await make_contract_repository(context.open_store()).read_existing(
        customer
    )
    view = make_contract_view(record)
    context.print(view, format_tree(view))
    return ExitCode.OK


async def list_contracts(context: Context) -> ExitCode:
    """Print all contracts."""
    records = await make_contract_repository(context.open_store()).list()
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
    """Print a contract's recent changes, oldest first."""
    customer = CustomerId(context.arguments.customer)
    record = await make_contract_repository(context.open_store()).read_existing(
        customer
    )
    changes = make_change_views(f"contracts/{customer}", record)
    context.print(changes, "\n".join(format_change(change) for change in changes))
    return ExitCode.OK


def make_contract_view(record: ContractRecord) -> dict:
    """Return a contract as plain JSON values, with its token hidden."""
    view = redact_tokens(to_json_value(record.contract))
    view["tiers"] = {kind: tier.name for kind, tier in record.contract.tiers.items()}
    return {"version": record.version, **view}


def _configure_parser(parser: argparse.ArgumentParser, run: object) -> None:
    add_store_option(parser)
    add_json_option(parser)
    parser.set_defaults(run=run)
