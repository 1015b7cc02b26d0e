"""Tests of the check of fleet configurations and of their differences."""

from dataclasses import replace

import pytest

from fireflyquay.daemons._fleet_check import check_fleet, describe_changes
from fireflyquay.world import (
    ClientAccount,
    ClientLimits,
    EngineSpec,
    FleetConfig,
    Quota,
    QuotaUnit,
    RepeatRule,
    Route,
    Service,
    ServiceShare,
)

ASK = Route(
    "ask",
    "site.example",
    "/ask/",
    True,
    RepeatRule.AT_MOST_ONCE,
    15.0,
    0.5,
    0,
    (ServiceShare("llm", 1),),
    2,
    False,
    0.4,
)
LOOK = replace(
    ASK,
    name="look",
    path_prefix="/look/",
    is_stream=False,
    shares=(ServiceShare("app", 1),),
    max_gap=None,
)
LLM = Service("llm", 750, EngineSpec(8, 474_093, 8, ("m",)))
APP = Service("app", 490)
LIMITS = ClientLimits(16_384, 1 << 20, 3.0, 15.0)
TOKENS = Quota(QuotaUnit.TOKEN, 5000.0, 20_000.0, 200.0)
HULE = ClientAccount("hule", frozenset(["key-1"]), 1, (TOKENS,))
CONFIG = FleetConfig(3, (ASK, LOOK), {"llm": LLM, "app": APP}, LIMITS, (HULE,))


def with_route(**changes):
    return replace(CONFIG, routes=(replace(ASK, **changes), LOOK))


def with_engine(**changes):
    service = replace(LLM, engine=replace(LLM.engine, **changes))
    return replace(CONFIG, services={"llm": service, "app": APP})


def with_account(**changes):
    return replace(CONFIG, accounts=(replace(HULE, **changes),))


def with_quota(**changes):
    return with_account(quotas=(replace(TOKENS, **changes),))


def with_limits(**changes):
    return replace(CONFIG, limits=replace(LIMITS, **changes))


def list_problems(config):
    return [(it.place, it.problem) for it in check_fleet(config)]


def test_sound_configuration_has_no_findings():
    assert not check_fleet(CONFIG)
    # Each of these is usual.
    assert not check_fleet(with_route(max_gap=None, path_prefix="", host=""))
    assert not check_fleet(with_account(quotas=()))
    assert not check_fleet(with_quota(rate=0.0, burst=0.0))
    assert not check_fleet(replace(CONFIG, accounts=()))


SHADOW = replace(LOOK, name="late", host="SITE.example", path_prefix="/ask/")
OTHER = replace(HULE, id="other")
FINDINGS = [
    (replace(CONFIG, version=0), "version", "never gets in force"),
    (
        replace(CONFIG, routes=(ASK, LOOK, SHADOW)),
        "route late",
        "never matches: route ask",
    ),
    (with_route(path_prefix="ask/"), "route ask", "no leading /"),
    (
        replace(CONFIG, routes=(ASK, LOOK, replace(LOOK, path_prefix="/x"))),
        "route look",
        "twice",
    ),
    (
        replace(
            CONFIG, routes=(ASK, LOOK, replace(ASK, name="x", host="x", shares=()))
        ),
        "route x",
        "no service has a share",
    ),
    (
        with_route(shares=(*ASK.shares, ServiceShare("lost", 1))),
        "route ask",
        "leads to the service lost",
    ),
    (with_route(shares=ASK.shares * 2), "route ask", "several shares"),
    (with_route(timeout=0.0), "route ask", "lets no request pass"),
    (with_route(target_latency=0.0), "route ask", "can't be met"),
    (
        with_route(target_latency=16.0),
        "route ask",
        "16 s is above the time limit of 15 s",
    ),
    (with_route(max_attempts=0), "route ask", "0 attempts"),
    (with_route(max_gap=0.0), "route ask", "can't be met"),
    (with_route(max_gap=20.0), "route ask", "gaps is above the time limit"),
    (with_route(is_stream=False), "route ask", "no streams"),
    (
        replace(CONFIG, services={**CONFIG.services, "idle": replace(APP, id="idle")}),
        "service idle",
        "no route leads to it",
    ),
    (
        replace(CONFIG, services={"llm": LLM, "app": replace(APP, max_connections=-1)}),
        "service app",
        "-1 connections",
    ),
    (with_engine(slots=0), "service llm", "no slots"),
    (with_engine(slots=800), "service llm", "can't fill its 800 slots"),
    (with_engine(tokens_per_event=0), "service llm", "no tokens in an event"),
    (with_engine(memory_tokens=63), "service llm", "can't hold one event"),
    (with_limits(max_header_bytes=100), "limits", "too short"),
    (with_limits(max_body_bytes=0), "limits", "no request may have a body"),
    (with_limits(header_timeout=0.0), "limits", "let no request pass"),
    (with_limits(idle_timeout=0.0), "limits", "let no connection stay open"),
    (with_account(keys=frozenset()), "account hule", "no API keys"),
    (with_account(keys=frozenset(["", "k"])), "account hule", "empty API key"),
    (replace(CONFIG, accounts=(HULE, OTHER)), "account hule", "account other"),
    (
        replace(CONFIG, accounts=(HULE, replace(HULE, keys=frozenset(["x"])))),
        "account hule",
        "twice",
    ),
    (with_quota(rate=-1.0), "account hule", "negative quota"),
    (with_quota(burst=-1.0), "account hule", "negative quota"),
    (with_quota(burst=199.0), "account hule", "199 tokens is below the 200"),
    (
        with_quota(unit=QuotaUnit.REQUEST, burst=0.5),
        "account hule",
        "0.5 requests is below the 1 ",
    ),
]


@pytest.mark.parametrize(
    ("config", "place", "problem"), FINDINGS, ids=lambda it: str(it)[:40]
)
def test_fault_is_found_once_with_its_place(config, place, problem):
    (finding,) = check_fleet(config)
    assert finding.place == place
    assert problem in finding.problem


def test_findings_name_no_api_key():
    config = replace(CONFIG, accounts=(HULE, OTHER))
    assert "key-1" not in str(list_problems(config))


def test_equal_configurations_have_no_differences():
    assert describe_changes(CONFIG, CONFIG) == []


def describe(**changes):
    new = replace(CONFIG, version=4, **changes)
    first, *others = describe_changes(CONFIG, new)
    assert first == "Version 4 instead of 3."
    return others


def test_differences_are_described():
    routes = (replace(ASK, timeout=20.0, is_public=True), replace(LOOK, name="read"))
    assert describe(routes=routes) == [
        "Route look is removed.",
        "Route ask: timeout 20 instead of 15.",
        "Route ask: is public yes instead of no.",
        "Route read is added.",
    ]
    shares = (ServiceShare("llm", 9), ServiceShare("a_b", 1))
    assert describe(routes=(replace(ASK, shares=shares), LOOK)) == [
        "Route ask: shares (service llm, weight 9), (service a_b, weight 1) instead of "
        "(service llm, weight 1)."
    ]
    services = {"llm": replace(LLM, engine=None), "app": APP}
    assert describe(services=services) == [
        "Service llm: engine none instead of (slots 8, memory tokens 474093, "
        "tokens per event 8, models m)."
    ]
    assert describe(limits=replace(LIMITS, idle_timeout=9.0)) == [
        "Limits: idle timeout 9 instead of 15."
    ]


def test_differences_of_keys_are_counted_and_not_shown():
    account = replace(HULE, keys=frozenset(["key-2", "key-3"]))
    assert describe(accounts=(account,)) == [
        "Account hule: 1 API keys revoked, 2 added."
    ]


def test_another_order_of_routes_for_the_same_requests_is_described():
    rival = replace(LOOK, name="rival", path_prefix=ASK.path_prefix)
    old = replace(CONFIG, routes=(ASK, rival, LOOK))
    new = replace(CONFIG, version=4, routes=(rival, ASK, LOOK))
    assert "Routes of the same host" in describe_changes(old, new)[1]
    new = replace(CONFIG, version=4, routes=(LOOK, ASK))
    assert len(describe_changes(CONFIG, new)) == 1


def test_change_that_no_gateway_will_apply_is_told():
    changed = replace(CONFIG, limits=replace(LIMITS, idle_timeout=9.0))
    assert "in force already" in describe_changes(CONFIG, changed)[0]
    older = replace(changed, version=2)
    assert "no gateway will apply it" in describe_changes(CONFIG, older)[1]


def test_check_names_a_configuration_whose_routes_nobody_can_use():
    closed = replace(CONFIG, accounts=(), requires_keys=True)
    [finding] = [it for it in check_fleet(closed) if it.place == "accounts"]
    assert finding.problem == "are none: only public routes can be used"
    opened = replace(closed, version=4, requires_keys=False)
    assert not [it for it in check_fleet(opened) if it.place == "accounts"]
    assert "Requests need no API keys any more." in describe_changes(closed, opened)
    assert "Requests need API keys." in describe_changes(opened, closed)
