"""Parser of the scenario language, with errors that have a code and a line number."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass, field
from enum import StrEnum
from functools import cache
from pathlib import Path
from typing import Any

from lark import Lark, Token, Transformer, UnexpectedInput, v_args
from lark.exceptions import VisitError

from emulator import Emulation

from ._sites import make_site

GRAMMAR = Path(__file__).with_name("scenario.lark")
DEFAULT_TRAFFIC_SECONDS = 10.0
# Limits that keep the run of a scenario below a few minutes.
MAX_VM_COUNT = 30
MAX_LOAD_FACTOR = 10.0
MAX_TIME_SECONDS = 600.0

Action = Callable[[Emulation], Awaitable[None]]


class ScenarioErrorCode(StrEnum):
    """Classify the errors of a scenario."""

    BAD_SYNTAX = "BAD_SYNTAX"
    OUT_OF_RANGE = "OUT_OF_RANGE"
    OUT_OF_ORDER = "OUT_OF_ORDER"
    UNKNOWN_NAME = "UNKNOWN_NAME"


class ScenarioError(Exception):
    """Indicate an error in a scenario, with its code and line."""

    def __init__(self, code: ScenarioErrorCode, line: int, message: str) -> None:
        super().__init__(f"line {line}: {code.value}: {message}")
        self.code = code
        self.line = line


@dataclass(frozen=True, slots=True)
class Step:
    """Hold an action and its time, in seconds after the start of traffic."""

    at: float
    action: Action
    line: int


@dataclass(slots=True)
class Scenario:
    """Hold one parsed scenario."""

    title: str
    vms: int = 5
    seed: int = 1
    load: float = 1.0
    traffic_seconds: float = DEFAULT_TRAFFIC_SECONDS
    steps: list[Step] = field(default_factory=list)
    # From 0 to 1; None if the scenario has no such expectation.
    min_served_share: float | None = None


def parse_scenarios(text: str) -> list[Scenario]:
    """Parse all scenarios of a text; raise ScenarioError at the first error."""
    try:
        tree = _load_parser().parse(text + "\n")
    except UnexpectedInput as error:
        line = max(1, getattr(error, "line", 1))
        # Lark names the expected tokens differently in each exception.
        candidates = (
            getattr(error, name, None) for name in ("accepts", "expected", "allowed")
        )
        expected = sorted(next((found for found in candidates if found), ()))
        message = f"the syntax is invalid; expected {' or '.join(expected)}.".lower()
        raise ScenarioError(ScenarioErrorCode.BAD_SYNTAX, line, message) from None
    try:
        scenarios: list[Scenario] = _ScenarioBuilder(visit_tokens=False).transform(tree)
    except VisitError as error:
        if isinstance(error.orig_exc, ScenarioError):
            raise error.orig_exc from None
        raise
    for scenario in scenarios:
        _check_step_order(scenario)
    return scenarios


@cache
def _load_parser() -> Lark:
    return Lark(GRAMMAR.read_text(), parser="lalr", propagate_positions=True)


def _check_step_order(scenario: Scenario) -> None:
    last = 0.0
    for step in scenario.steps:
        if step.at < last:
            message = f"{step.at:g}s is out of order; expected {last:g}s or later."
            raise ScenarioError(ScenarioErrorCode.OUT_OF_ORDER, step.line, message)
        last = step.at


def _check_range(token: Token, is_within: bool, expected: str) -> None:
    if not is_within:
        line = token.line or 1
        raise ScenarioError(
            ScenarioErrorCode.OUT_OF_RANGE,
            line,
            f"{token} is out of range; expected {expected}.",
        )


def _parse_name(token: Token, known: Sequence[str]) -> str:
    if token not in known:
        message = f"{token} is unknown; expected one of {', '.join(known)}."
        raise ScenarioError(ScenarioErrorCode.UNKNOWN_NAME, token.line or 1, message)
    return str(token)


@cache
def _list_servers() -> tuple[str, ...]:
    site = make_site()
    models = {**site.engines, **site.services}
    return tuple(f"{name}-{n}" for name, it in models.items() for n in range(it.count))


@cache
def _list_accounts() -> tuple[str, ...]:
    return tuple(f"account-{n}" for n in range(make_site().accounts))


def _parse_time(token: Token) -> float:
    is_milliseconds = token.endswith("ms")
    seconds = float(token[:-2]) / 1000 if is_milliseconds else float(token[:-1])
    _check_range(
        token, seconds <= MAX_TIME_SECONDS, f"a time of at most {MAX_TIME_SECONDS:g}s"
    )
    return seconds


def _parse_share(token: Token) -> float:
    percent = float(token[:-1])
    _check_range(token, percent <= 100, "at most 100%")
    return percent / 100


def _resolve_target(emulation: Emulation, target: int | None) -> str | None:
    """Return a VM's host; a target of None is the coordinator; None without VMs."""
    hosts = emulation.list_hosts()
    if not hosts:
        return None
    return (
        emulation.find_coordinator() if target is None else hosts[target % len(hosts)]
    )


def _make_host_action(
    target: int | None, action: Callable[[Emulation, str], None]
) -> Action:
    """Return an action on a VM's host; it does nothing if no VM runs."""

    async def run(emulation: Emulation) -> None:
        host = _resolve_target(emulation, target)
        if host is not None:
            action(emulation, host)

    return run


def _make_action(action: Callable[[Emulation], object]) -> Action:
    async def run(emulation: Emulation) -> None:
        action(emulation)

    return run


@v_args(inline=True)
class _ScenarioBuilder(Transformer):
    """Build scenarios bottom up; each method has the name of its grammar rule."""

    def start(self, *scenarios: Scenario) -> list[Scenario]:
        return list(scenarios)

    def scenario(self, title: Token, *parts: Any) -> Scenario:
        scenario = Scenario(title[1:-1])
        for part in parts:
            if isinstance(part, Step):
                scenario.steps.append(part)
            else:
                name, value = part
                # `expect all promises` sets nothing: guarantees are always checked.
                if name:
                    setattr(scenario, name, value)
        return scenario

    def given_vms(self, count: Token) -> tuple[str, int]:
        vms = int(count)
        _check_range(count, 1 <= vms <= MAX_VM_COUNT, f"1 to {MAX_VM_COUNT} VMs")
        return "vms", vms

    def given_seed(self, seed: Token) -> tuple[str, int]:
        return "seed", int(seed)

    def given_load(self, load: Token) -> tuple[str, float]:
        value = float(load)
        expected = f"a load of at most {MAX_LOAD_FACTOR:g} and above 0"
        _check_range(load, 0 < value <= MAX_LOAD_FACTOR, expected)
        return "load", value

    def given_traffic(self, time: Token) -> tuple[str, float]:
        return "traffic_seconds", _parse_time(time)

    def step(self, time: Token, action: Action) -> Step:
        return Step(_parse_time(time), action, time.line)

    def coordinator(self) -> None:
        return None

    def vm(self, number: Token) -> int:
        return int(number)

    def kill(self, target: int | None) -> Action:
        return _make_host_action(target, lambda emulation, host: emulation.kill(host))

    def freeze(self, target: int | None, time: Token) -> Action:
        seconds = _parse_time(time)
        return _make_host_action(
            target, lambda emulation, host: emulation.freeze(host, seconds)
        )

    def isolate(self, target: int | None, time: Token) -> Action:
        seconds = _parse_time(time)
        return _make_host_action(
            target, lambda emulation, host: emulation.isolate(host, seconds)
        )

    def cut(self, first: int | None, second: int | None, time: Token) -> Action:
        seconds = _parse_time(time)

        async def run(emulation: Emulation) -> None:
            hosts = (
                _resolve_target(emulation, first),
                _resolve_target(emulation, second),
            )
            if None not in hosts and hosts[0] != hosts[1]:
                emulation.cut(hosts[0], hosts[1], seconds)

        return run

    def stop(self, target: int | None) -> Action:
        return _make_host_action(target, lambda emulation, host: emulation.stop(host))

    def add(self) -> Action:
        async def run(emulation: Emulation) -> None:
            await emulation.add_vm()

        return run

    def store_down(self, time: Token) -> Action:
        seconds = _parse_time(time)
        return _make_action(lambda emulation: emulation.stop_store(seconds))

    def store_refuses(self, target: int | None, time: Token) -> Action:
        seconds = _parse_time(time)
        return _make_host_action(
            target, lambda emulation, host: emulation.refuse_store(host, seconds)
        )

    def crash(self, server: Token, time: Token) -> Action:
        name, seconds = _parse_name(server, _list_servers()), _parse_time(time)
        return _make_action(lambda emulation: emulation.crash(name, seconds))

    def remove(self, server: Token) -> Action:
        name = _parse_name(server, _list_servers())
        return _make_action(lambda emulation: emulation.remove(name))

    def change_key(self, account: Token) -> Action:
        name = _parse_name(account, _list_accounts())

        async def run(emulation: Emulation) -> None:
            emulation.clients.revoked_key_share = 0.3
            version = emulation.store.config.version
            emulation.rotate_key(name, f"{name}-{version}")

        return run

    def change_configuration(self) -> Action:
        return _make_action(lambda emulation: emulation.apply_config())

    def lose(self, share: Token) -> Action:
        value = _parse_share(share)
        return _make_action(
            lambda emulation: setattr(emulation.network, "loss_rate", value)
        )

    def expect_promises(self) -> tuple[str, None]:
        return "", None

    def expect_served(self, share: Token) -> tuple[str, float]:
        return "min_served_share", _parse_share(share)
