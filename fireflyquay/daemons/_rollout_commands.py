"""Commands for roll-outs of software versions: `rollout show|order|withdraw`."""

from __future__ import annotations

import argparse
import math

from fireflyquay.world import (
    MAX_COUNT,
    MAX_NAME_CHARS,
    Code,
    FireflyquayError,
    ServiceId,
    SoftwareVersion,
)

from ._context import Context, add_json_option, add_store_option
from ._output import ExitCode, format_table
from ._rollout_orders import (
    RolloutView,
    change_order,
    get_state,
    read_views,
    withdraw_order,
)

OVERVIEW_HEADER = (
    "SERVICE",
    "TARGET",
    "STATE",
    "PHASE",
    "LIMIT",
    "SEEN",
    "RESERVED",
    "REASON",
)
EVIDENCE_HEADER = ("VERSION", "ROUTE", "SERVER", "RESPONSES", "FAILURES", "SLOW")
ALL_SERVERS = "all"


def add_rollout_commands(commands: argparse._SubParsersAction) -> None:
    """Add `rollout show|order|withdraw`."""
    group = commands.add_parser(
        "rollout", help="move a service to another software version"
    )
    actions = group.add_subparsers(dest="action", required=True)
    show = actions.add_parser("show", help="print orders with state and evidence")
    show.add_argument("service", nargs="?", help="print only this service's order")
    _configure_parser(show, show_rollouts)
    order = actions.add_parser("order", help="order a service's move to a version")
    order.add_argument("service", type=parse_name, help="name of the service")
    order.add_argument("target", type=parse_name, help="software version to move to")
    order.add_argument(
        "--duration",
        type=parse_duration,
        required=True,
        metavar="SECONDS",
        help="time limit for the verdict",
    )
    order.add_argument(
        "--replace", action="store_true", help="replace another order in force"
    )
    _configure_parser(order, order_rollout)
    withdraw = actions.add_parser("withdraw", help="remove a service's order")
    withdraw.add_argument("service", type=parse_name, help="name of the service")
    _configure_parser(withdraw, withdraw_rollout)


async def show_rollouts(context: Context) -> ExitCode:
    """Print the orders, and for a single service the evidence."""
    service = context.arguments.service
    orders = context.make_rollout_orders()
    views = await read_views(orders)
    unreadable = dict(orders.unreadable)
    if service is not None:
        views = [view for view in views if view.service == service]
        unreadable = {k: v for k, v in unreadable.items() if k == service}
    for name, cause in unreadable.items():
        context.print_to_stderr(f"The order {name!r} is ignored: {cause}.")
    if service is not None and not views:
        sentence = f"Service {service} has no readable order of a roll-out."
        raise FireflyquayError(Code.NOT_FOUND, sentence)
    text = format_table(OVERVIEW_HEADER, [_make_row(view) for view in views])
    if service is not None:
        text += "\n\n" + _format_evidence(views[0])
    context.print(views, text)
    return ExitCode.OK


async def order_rollout(context: Context) -> ExitCode:
    """Order a service's move to a software version."""
    arguments = context.arguments
    order, changed = await change_order(
        context.make_rollout_orders(),
        ServiceId(arguments.service),
        SoftwareVersion(arguments.target),
        arguments.duration,
        arguments.replace,
    )
    state = get_state(order)
    status = "is now" if changed else "was already"
    context.print(
        {
            "service": order.service,
            "target": order.target,
            "duration_seconds": order.duration_seconds,
            "revision": order.revision,
            "state": state.value if state else "",
            "changed": changed,
        },
        f"Service {order.service} {status} ordered to move to version {order.target} "
        f"within {order.duration_seconds:g} s (revision {order.revision}).",
    )
    return ExitCode.OK


async def withdraw_rollout(context: Context) -> ExitCode:
    """Remove a service's order."""
    service = ServiceId(context.arguments.service)
    await withdraw_order(context.make_rollout_orders(), service)
    context.print(
        {"service": service, "withdrawn": True},
        f"The order of service {service} is withdrawn.",
    )
    return ExitCode.OK


def parse_name(text: str) -> str:
    """Return the name of a service or version, for argparse."""
    if not 0 < len(text) <= MAX_NAME_CHARS or not text.isprintable():
        raise argparse.ArgumentTypeError(
            f"{text!r} is not a printable name of 1 to {MAX_NAME_CHARS} characters"
        )
    return text


def parse_duration(text: str) -> float:
    """Parse seconds above 0, for argparse."""
    try:
        seconds = float(text)
    except ValueError:
        seconds = math.nan
    if not 0 < seconds <= MAX_COUNT:
        raise argparse.ArgumentTypeError(f"{text!r} is not a number of seconds above 0")
    return seconds


def _make_row(view: RolloutView) -> tuple[object, ...]:
    return (
        view.service,
        view.target,
        view.state or "-",
        view.phase or "-",
        f"{view.duration_seconds:g} s",
        view.requests_seen,
        view.requests_reserved,
        view.reason or "-",
    )


def _format_evidence(view: RolloutView) -> str:
    if not view.evidence:
        return "No evidence is stored."
    rows = [
        (
            it.version or "-",
            it.route,
            it.backend or ALL_SERVERS,
            it.responses,
            it.failures,
            it.slow,
        )
        for it in view.evidence
    ]
    text = format_table(EVIDENCE_HEADER, rows)
    if view.has_lost_history:
        text += "\nEarlier counts of this order were lost."
    return text


def _configure_parser(parser: argparse.ArgumentParser, run: object) -> None:
    add_store_option(parser)
    add_json_option(parser)
    parser.set_defaults(run=run)
