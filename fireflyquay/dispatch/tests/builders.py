"""Builders of requests, configurations and coordinators for tests."""

from __future__ import annotations

import random

from fireflyquay.dispatch import (
    ConfigReplica,
    Coordinator,
    Freshness,
    QuotaLimiter,
    RetryBudget,
    SlotRequest,
    SlotScheduler,
    SlotSchedulerSettings,
)
from fireflyquay.world import (
    AttemptId,
    BackendEntry,
    BackendPhase,
    BackendServerId,
    ClientAccount,
    ClientAccountId,
    ClientLimits,
    EntryVm,
    FleetConfig,
    Incarnation,
    Quota,
    QuotaUnit,
    RegionId,
    RepeatRule,
    Route,
    ServiceId,
    ServiceShare,
    ZoneId,
)

SERVICE = ServiceId("engines")
ACCOUNT = ClientAccountId("office")
OWN_VM = Incarnation("vm-a")
OTHER_VM = Incarnation("vm-b")


def make_backend_entry(
    name: str,
    slots: int = 2,
    phase: BackendPhase = BackendPhase.READY,
    zone: str = "a",
    born_ms: int = 1,
    service: ServiceId = SERVICE,
) -> BackendEntry:
    return BackendEntry(
        BackendServerId(name),
        service,
        "10.0.0.1",
        8000,
        ZoneId(zone),
        slots,
        phase,
        born_ms,
    )


def make_request(
    number: int,
    owner: Incarnation = OWN_VM,
    rank: int = 0,
    prompt_tokens: int = 1000,
    output_tokens: int = 50,
    **overrides: object,
) -> SlotRequest:
    fields = {
        "owner": owner,
        "number": number,
        "attempt_id": AttemptId(f"attempt-{owner}-{number}"),
        "service": SERVICE,
        "account": ACCOUNT,
        "rank": (rank, rank),
        "zone": ZoneId("a"),
        "prompt_tokens": prompt_tokens,
        "max_output_tokens": output_tokens,
        "quota_tokens": float(prompt_tokens + output_tokens),
        "seconds_to_objective": 1.0,
        "seconds_to_give_up": 4.0,
        "seconds_to_deadline": 15.0,
        "max_gap": 0.2,
        "fingerprint": f"{number:016x}",
    }
    return SlotRequest(**{**fields, **overrides})


def make_vm(name: Incarnation = OWN_VM) -> EntryVm:
    return EntryVm(name, ZoneId("a"), RegionId("r"), "10.0.0.9", 80, 81)


def make_account(
    rate: float = 0.0, burst: float = 0.0, keys: tuple[str, ...] = ("key-1",)
) -> ClientAccount:
    quota = Quota(QuotaUnit.TOKEN, rate, burst, 200.0)
    return ClientAccount(ACCOUNT, frozenset(keys), None, (quota,))


def make_route(prefix: str = "/ask/", **overrides: object) -> Route:
    fields = {
        "name": f"route{prefix}",
        "host": "office.example",
        "path_prefix": prefix,
        "is_stream": True,
        "repeat_rule": RepeatRule.AT_MOST_ONCE,
        "timeout": 15.0,
        "target_latency": 1.0,
        "rank": 0,
        "shares": (ServiceShare(SERVICE, 1),),
        "max_attempts": 2,
        "is_public": False,
        "max_gap": 0.2,
    }
    return Route(**{**fields, **overrides})


def make_config(
    version: int = 1,
    routes: tuple[Route, ...] | None = None,
    accounts: tuple[ClientAccount, ...] = (),
) -> FleetConfig:
    limits = ClientLimits(16384, 4 * 1024 * 1024, 3.0, 15.0)
    routes = routes or (make_route(),)
    return FleetConfig(version, routes, {}, limits, accounts, bool(accounts))


def make_coordinator(
    account: ClientAccount | None = None,
    retry_budget: RetryBudget | None = None,
    settings: SlotSchedulerSettings | None = None,
    own: Incarnation = OWN_VM,
) -> Coordinator:
    config = ConfigReplica()
    accounts = (account,) if account else ()
    config.apply_config(make_config(accounts=accounts), Freshness(1, 0.0))
    scheduler = SlotScheduler(settings or SlotSchedulerSettings(), random.Random(1))
    budget = retry_budget or RetryBudget(0.2, 10, 10)
    return Coordinator(own, config, scheduler, budget, QuotaLimiter())
