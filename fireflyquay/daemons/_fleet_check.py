"""Check of a fleet configuration, and its differences from the one in force."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import fields, replace
from typing import Any

import msgspec

from fireflyquay.dispatch import ConfigReplica, Freshness
from fireflyquay.world import (
    ClientAccount,
    FleetConfig,
    Quota,
    QuotaUnit,
    Route,
    Service,
)

# A head with a path, a host and an API key may have so many bytes.
MIN_HEADER_BYTES = 1024


class FleetFinding(msgspec.Struct, frozen=True):
    """Describe an entry that is wrong, has no effect or contradicts another one."""

    place: str
    problem: str


def check_fleet(config: FleetConfig) -> list[FleetFinding]:
    """Return what is wrong with a configuration, in its order."""
    replica = make_replica(config)
    findings = []
    if config.version < 1:
        findings.append(FleetFinding("version", "is below 1 and never gets in force"))
    for route in config.routes:
        problems = [*_check_route(replica, route), *_check_shares(config, route)]
        findings += _make_findings(f"route {route.name}", problems)
    findings += _find_repeated("route", (it.name for it in config.routes))
    used = {share.service for route in config.routes for share in route.shares}
    for service in config.services.values():
        problems = list(_check_service(service))
        if service.id not in used:
            problems.append("no route leads to it")
        findings += _make_findings(f"service {service.id}", problems)
    findings += _make_findings("limits", _check_limits(config))
    if config.requires_keys and not config.accounts:
        problem = "are none: only public routes can be used"
        findings.append(FleetFinding("accounts", problem))
    for account in config.accounts:
        problems = _check_account(replica, account)
        findings += _make_findings(f"account {account.id}", problems)
    findings += _find_repeated("account", (it.id for it in config.accounts))
    return findings


def make_replica(config: FleetConfig) -> ConfigReplica:
    """Return a replica that finds routes and accounts as a gateway does."""
    replica = ConfigReplica()
    # A version below 1 is not applied; its entries are checked all the same.
    applicable = replace(config, version=max(1, config.version))
    replica.apply_config(applicable, Freshness(0, 0.0))
    return replica


def describe_changes(old: FleetConfig, new: FleetConfig) -> list[str]:
    """Return in sentences what a configuration changes of the one in force."""
    changes = [f"Version {new.version} instead of {old.version}."]
    if new.version == old.version:
        changes = []
        if new != old:
            changes.append(
                f"Version {new.version} is in force already: "
                "no gateway will notice the changes below."
            )
    if new.version < old.version:
        changes.append("It is older than the one in force: no gateway will apply it.")
    changes += _describe_entries(
        "Route", {it.name: it for it in old.routes}, {it.name: it for it in new.routes}
    )
    if _have_another_order(old, new):
        changes.append("Routes of the same host and path are in another order.")
    changes += _describe_entries("Service", old.services, new.services)
    changes += _describe_fields("Limits", old.limits, new.limits)
    if old.requires_keys != new.requires_keys:
        changes.append(
            "Requests need API keys."
            if new.requires_keys
            else "Requests need no API keys any more."
        )
    old_accounts = {it.id: it for it in old.accounts}
    new_accounts = {it.id: it for it in new.accounts}
    return changes + list(_describe_entries("Account", old_accounts, new_accounts))


def _check_route(replica: ConfigReplica, route: Route) -> Iterator[str]:
    found = replica.find_route(route.host, route.path_prefix)
    if found is not route and found is not None:
        same = f"route {found.name} has the same host and path prefix"
        yield f"never matches: {same} and comes first"
    if route.path_prefix and not route.path_prefix.startswith("/"):
        yield f"never matches: the path prefix {route.path_prefix!r} has no leading /"
    if route.timeout <= 0:
        yield f"the time limit of {route.timeout:g} s lets no request pass"
    if route.target_latency <= 0:
        yield f"the latency objective of {route.target_latency:g} s can't be met"
    if 0 < route.timeout < route.target_latency:
        yield (
            f"the latency objective of {route.target_latency:g} s is above the "
            f"time limit of {route.timeout:g} s"
        )
    if route.max_attempts < 1:
        yield f"the limit of {route.max_attempts} attempts lets no request pass"
    yield from _check_gap(route)


def _check_shares(config: FleetConfig, route: Route) -> Iterator[str]:
    if not route.shares:
        yield "no service has a share of its requests"
    names = [share.service for share in route.shares]
    for name in dict.fromkeys(names):
        if name not in config.services:
            yield f"leads to the service {name}, which is not configured"
        if names.count(name) > 1:
            yield f"has several shares of the service {name}"


def _check_gap(route: Route) -> Iterator[str]:
    if route.max_gap is None:
        return
    if not route.is_stream:
        yield "has an objective for gaps, but its responses are no streams"
    elif route.max_gap <= 0:
        yield f"the objective of {route.max_gap:g} s for gaps can't be met"
    elif route.max_gap > route.timeout > 0:
        yield (
            f"the objective of {route.max_gap:g} s for gaps is above the "
            f"time limit of {route.timeout:g} s"
        )


def _check_service(service: Service) -> Iterator[str]:
    engine = service.engine
    if service.max_connections < 0:
        yield f"has a limit of {service.max_connections} connections"
    if engine is None:
        return
    if engine.slots < 1:
        yield "its engines have no slots"
    if engine.tokens_per_event < 1:
        yield "its engines have no tokens in an event"
    if 0 < service.max_connections < engine.slots:
        yield (
            f"{service.max_connections} connections to a server can't fill its "
            f"{engine.slots} slots"
        )
    if engine.memory_tokens < engine.slots * engine.tokens_per_event:
        yield (
            f"{engine.memory_tokens} tokens in memory can't hold one event of each "
            f"of {engine.slots} slots"
        )


def _check_limits(config: FleetConfig) -> Iterator[str]:
    limits = config.limits
    if limits.max_header_bytes < MIN_HEADER_BYTES:
        yield f"heads of {limits.max_header_bytes} bytes are too short for requests"
    if limits.max_body_bytes < 1:
        yield "no request may have a body"
    if limits.header_timeout <= 0:
        yield f"{limits.header_timeout:g} s for a head let no request pass"
    if limits.idle_timeout <= 0:
        yield f"{limits.idle_timeout:g} s of idle time let no connection stay open"


def _check_account(replica: ConfigReplica, account: ClientAccount) -> Iterator[str]:
    if not account.keys:
        yield "has no API keys: nobody can use it"
    if "" in account.keys:
        yield "has an empty API key"
    others = {
        found.id
        for key in account.keys
        if (found := replica.find_account_by_api_key(key)) is not account and found
    }
    for other in sorted(others):
        yield f"an API key of it counts as one of the account {other}, which has it too"
    for quota in account.quotas:
        yield from _check_quota(quota)


def _check_quota(quota: Quota) -> Iterator[str]:
    unit = "tokens" if quota.unit is QuotaUnit.TOKEN else "requests"
    if quota.rate < 0 or quota.burst < 0:
        yield f"has a negative quota of {unit}"
    if quota.rate <= 0:
        return
    largest = quota.plain_tokens if quota.unit is QuotaUnit.TOKEN else 1.0
    if 0 <= quota.burst < largest:
        yield (
            f"a burst of {quota.burst:g} {unit} is below the {largest:g} of a "
            "single plain request"
        )


def _make_findings(place: str, problems: Iterable[str]) -> list[FleetFinding]:
    return [FleetFinding(place, problem) for problem in problems]


def _find_repeated(kind: str, names: Iterable[str]) -> list[FleetFinding]:
    seen: set[str] = set()
    repeated = dict.fromkeys(it for it in names if it in seen or seen.add(it))
    return [FleetFinding(f"{kind} {it}", "the name occurs twice") for it in repeated]


def _describe_entries(
    kind: str, old: dict[Any, Any], new: dict[Any, Any]
) -> Iterator[str]:
    for name in sorted(old.keys() - new.keys()):
        yield f"{kind} {name} is removed."
    for name, entry in new.items():
        if name not in old:
            yield f"{kind} {name} is added."
        else:
            yield from _describe_fields(f"{kind} {name}", old[name], entry)


def _describe_fields(subject: str, old: Any, new: Any) -> Iterator[str]:
    for field in fields(new):
        before, after = getattr(old, field.name), getattr(new, field.name)
        if before == after:
            continue
        if field.name == "keys":
            # Keys are secrets.
            revoked, added = len(before - after), len(after - before)
            yield f"{subject}: {revoked} API keys revoked, {added} added."
            continue
        label = _label(field.name)
        yield f"{subject}: {label} {_format(after)} instead of {_format(before)}."


def _label(field_name: str) -> str:
    return field_name.replace("_", " ")


def _format(value: Any) -> str:
    """Return a value of the configuration as an operator reads it."""
    if value is None:
        return "none"
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, float):
        return f"{value:g}"
    if isinstance(value, tuple):
        return ", ".join(_format(it) for it in value) or "none"
    if hasattr(value, "__dataclass_fields__"):
        names = [it.name for it in fields(value)]
        parts = (f"{_label(it)} {_format(getattr(value, it))}" for it in names)
        return "(" + ", ".join(parts) + ")"
    return str(value)


def _have_another_order(old: FleetConfig, new: FleetConfig) -> bool:
    """Return whether routes that compete for the same requests changed places."""
    kept = {it.name for it in old.routes} & {it.name for it in new.routes}

    def list_groups(config: FleetConfig) -> dict[tuple[str, str], list[str]]:
        groups: dict[tuple[str, str], list[str]] = {}
        for route in config.routes:
            if route.name in kept:
                key = route.host.lower(), route.path_prefix
                groups.setdefault(key, []).append(route.name)
        return groups

    before, after = list_groups(old), list_groups(new)
    return any(
        sorted(before[key]) == sorted(after[key]) and before[key] != after[key]
        for key in before.keys() & after.keys()
    )
