"""The scenario language: text to scripts, or a coded error with its line."""

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
# Seconds of traffic unless a scenario gives them.
TRAFFIC_SECONDS = 10.0
# Bounds within which a play takes minutes at most.
MAX_VMS = 30
MAX_LOAD = 10.0
MAX_SECONDS = 600.0

Act = Callable[[Emulation], Awaitable[None]]


class ScriptCode(StrEnum):
    """Name what is wrong with a scenario."""

    BAD_SYNTAX = "BAD_SYNTAX"
    OUT_OF_RANGE = "OUT_OF_RANGE"
    OUT_OF_ORDER = "OUT_OF_ORDER"
    UNKNOWN_NAME = "UNKNOWN_NAME"


class ScriptError(Exception):
    """Tell what is wrong with a scenario, and in which line."""

    def __init__(self, code: ScriptCode, line: int, sentence: str) -> None:
        super().__init__(f"line {line}: {code.value}: {sentence}")
        self.code = code
        self.line = line


@dataclass(frozen=True, slots=True)
class Step:
    """Hold what happens at a time."""

    at: float
    act: Act
    line: int


@dataclass(slots=True)
class Script:
    """Hold one scenario."""

    title: str
    vms: int = 5
    seed: int = 1
    load: float = 1.0
    traffic: float = TRAFFIC_SECONDS
    steps: list[Step] = field(default_factory=list)
    # Part of the requests that must be served, None if that is not asked.
    least_served: float | None = None


def parse_scripts(text: str) -> list[Script]:
    """Read all scenarios of a text; raise ScriptError for the first fault."""
    try:
        tree = _load_parser().parse(text + "\n")
    except UnexpectedInput as error:
        line = max(1, getattr(error, "line", 1))
        names = (
            getattr(error, name, None) for name in ("accepts", "expected", "allowed")
        )
        wanted = sorted(next((found for found in names if found), ()))
        sentence = f"expected {' or '.join(wanted)}".lower()
        raise ScriptError(ScriptCode.BAD_SYNTAX, line, sentence) from None
    try:
        scripts: list[Script] = _Builder(visit_tokens=False).transform(tree)
    except VisitError as error:
        if isinstance(error.orig_exc, ScriptError):
            raise error.orig_exc from None
        raise
    for script in scripts:
        _check(script)
    return scripts


@cache
def _load_parser() -> Lark:
    return Lark(GRAMMAR.read_text(), parser="lalr", propagate_positions=True)


def _check(script: Script) -> None:
    last = 0.0
    for step in script.steps:
        if step.at < last:
            sentence = f"expected a time from {last:g}s on"
            raise ScriptError(ScriptCode.OUT_OF_ORDER, step.line, sentence)
        last = step.at


def _check_range(token: Token, is_within: bool, wanted: str) -> None:
    if not is_within:
        line = token.line or 1
        raise ScriptError(ScriptCode.OUT_OF_RANGE, line, f"expected {wanted}")


def _read_name(token: Token, known: Sequence[str]) -> str:
    if token not in known:
        sentence = f"expected one of {', '.join(known)}"
        raise ScriptError(ScriptCode.UNKNOWN_NAME, token.line or 1, sentence)
    return str(token)


@cache
def _list_servers() -> tuple[str, ...]:
    site = make_site()
    models = {**site.engines, **site.services}
    return tuple(f"{name}-{n}" for name, it in models.items() for n in range(it.count))


@cache
def _list_accounts() -> tuple[str, ...]:
    return tuple(f"account-{n}" for n in range(make_site().accounts))


def _read_time(token: Token) -> float:
    is_short = token.endswith("ms")
    seconds = float(token[:-2]) / 1000 if is_short else float(token[:-1])
    _check_range(token, seconds <= MAX_SECONDS, f"a time of at most {MAX_SECONDS:g}s")
    return seconds


def _read_share(token: Token) -> float:
    percent = float(token[:-1])
    _check_range(token, percent <= 100, "at most 100%")
    return percent / 100


def _find_host(emulation: Emulation, target: int | None) -> str | None:
    """Return the host of a target, None if nothing runs; no number is coordinator."""
    hosts = emulation.list_hosts()
    if not hosts:
        return None
    return (
        emulation.find_coordinator() if target is None else hosts[target % len(hosts)]
    )


def _at_host(target: int | None, act: Callable[[Emulation, str], None]) -> Act:
    async def run(emulation: Emulation) -> None:
        host = _find_host(emulation, target)
        if host is not None:
            act(emulation, host)

    return run


def _plainly(act: Callable[[Emulation], object]) -> Act:
    async def run(emulation: Emulation) -> None:
        act(emulation)

    return run


@v_args(inline=True)
class _Builder(Transformer):
    """Build scripts bottom up; each method is named as its rule."""

    def start(self, *scripts: Script) -> list[Script]:
        return list(scripts)

    def scenario(self, title: Token, *parts: Any) -> Script:
        script = Script(title[1:-1])
        for part in parts:
            if isinstance(part, Step):
                script.steps.append(part)
            else:
                name, value = part
                if name:
                    setattr(script, name, value)
        return script

    def given_vms(self, count: Token) -> tuple[str, int]:
        vms = int(count)
        _check_range(count, 1 <= vms <= MAX_VMS, f"1 to {MAX_VMS} VMs")
        return "vms", vms

    def given_seed(self, seed: Token) -> tuple[str, int]:
        return "seed", int(seed)

    def given_load(self, load: Token) -> tuple[str, float]:
        value = float(load)
        wanted = f"a load of at most {MAX_LOAD:g} and above 0"
        _check_range(load, 0 < value <= MAX_LOAD, wanted)
        return "load", value

    def given_traffic(self, time: Token) -> tuple[str, float]:
        return "traffic", _read_time(time)

    def step(self, time: Token, act: Act) -> Step:
        return Step(_read_time(time), act, time.line)

    def coordinator(self) -> None:
        return None

    def vm(self, number: Token) -> int:
        return int(number)

    def kill(self, target: int | None) -> Act:
        return _at_host(target, lambda emulation, host: emulation.kill(host))

    def freeze(self, target: int | None, time: Token) -> Act:
        seconds = _read_time(time)
        return _at_host(target, lambda emulation, host: emulation.freeze(host, seconds))

    def isolate(self, target: int | None, time: Token) -> Act:
        seconds = _read_time(time)
        return _at_host(
            target, lambda emulation, host: emulation.isolate(host, seconds)
        )

    def cut(self, first: int | None, second: int | None, time: Token) -> Act:
        seconds = _read_time(time)

        async def run(emulation: Emulation) -> None:
            hosts = _find_host(emulation, first), _find_host(emulation, second)
            if None not in hosts and hosts[0] != hosts[1]:
                emulation.cut(hosts[0], hosts[1], seconds)

        return run

    def stop(self, target: int | None) -> Act:
        return _at_host(target, lambda emulation, host: emulation.stop(host))

    def add(self) -> Act:
        async def run(emulation: Emulation) -> None:
            await emulation.add_vm()

        return run

    def store_down(self, time: Token) -> Act:
        seconds = _read_time(time)
        return _plainly(lambda emulation: emulation.stop_store(seconds))

    def store_refuses(self, target: int | None, time: Token) -> Act:
        seconds = _read_time(time)
        return _at_host(
            target, lambda emulation, host: emulation.refuse_store(host, seconds)
        )

    def crash(self, server: Token, time: Token) -> Act:
        name, seconds = _read_name(server, _list_servers()), _read_time(time)
        return _plainly(lambda emulation: emulation.crash(name, seconds))

    def remove(self, server: Token) -> Act:
        name = _read_name(server, _list_servers())
        return _plainly(lambda emulation: emulation.remove(name))

    def change_key(self, account: Token) -> Act:
        name = _read_name(account, _list_accounts())

        async def run(emulation: Emulation) -> None:
            emulation.clients.revoked_key_share = 0.3
            version = emulation.store.config.version
            emulation.rotate_key(name, f"{name}-{version}")

        return run

    def change_configuration(self) -> Act:
        return _plainly(lambda emulation: emulation.apply_config())

    def lose(self, share: Token) -> Act:
        value = _read_share(share)
        return _plainly(
            lambda emulation: setattr(emulation.network, "loss_rate", value)
        )

    def expect_promises(self) -> tuple[str, None]:
        return "", None

    def expect_served(self, share: Token) -> tuple[str, float]:
        return "least_served", _read_share(share)
