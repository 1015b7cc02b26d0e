"""The scenario language: text to scripts, or a coded error with its line."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from enum import StrEnum
from functools import cache
from pathlib import Path
from typing import Any

from lark import Lark, Transformer, UnexpectedInput, v_args

from emulator import Stage

GRAMMAR = Path(__file__).with_name("scenario.lark")
# Seconds of traffic unless a scenario gives them.
TRAFFIC_SECONDS = 10.0
MAX_VMS = 30
MAX_SECONDS = 600.0

Act = Callable[[Stage], Awaitable[None]]


class ScriptCode(StrEnum):
    """Name what is wrong with a scenario."""

    BAD_SYNTAX = "BAD_SYNTAX"
    OUT_OF_RANGE = "OUT_OF_RANGE"
    OUT_OF_ORDER = "OUT_OF_ORDER"


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
    scripts: list[Script] = _Builder(visit_tokens=False).transform(tree)
    for script in scripts:
        _check(script)
    return scripts


@cache
def _load_parser() -> Lark:
    return Lark(GRAMMAR.read_text(), parser="lalr", propagate_positions=True)


def _check(script: Script) -> None:
    first = script.steps[0].line if script.steps else 1
    if not 1 <= script.vms <= MAX_VMS:
        sentence = f"from 1 to {MAX_VMS} VMs"
        raise ScriptError(ScriptCode.OUT_OF_RANGE, first, sentence)
    last = 0.0
    for step in script.steps:
        if step.at > MAX_SECONDS:
            sentence = f"a time of at most {MAX_SECONDS:g}s"
            raise ScriptError(ScriptCode.OUT_OF_RANGE, step.line, sentence)
        if step.at < last:
            sentence = f"a time from {last:g}s on"
            raise ScriptError(ScriptCode.OUT_OF_ORDER, step.line, sentence)
        last = step.at


def _read_time(text: str) -> float:
    if text.endswith("ms"):
        return float(text[:-2]) / 1000
    return float(text[:-1])


def _read_share(text: str) -> float:
    return float(text[:-1]) / 100


def _find_host(stage: Stage, target: int | None) -> str | None:
    """Return the host of a target, None if nothing runs; no number is coordinator."""
    hosts = stage.list_hosts()
    if not hosts:
        return None
    return stage.find_coordinator() if target is None else hosts[target % len(hosts)]


def _at_host(target: int | None, act: Callable[[Stage, str], None]) -> Act:
    async def run(stage: Stage) -> None:
        host = _find_host(stage, target)
        if host is not None:
            act(stage, host)

    return run


def _plainly(act: Callable[[Stage], object]) -> Act:
    async def run(stage: Stage) -> None:
        act(stage)

    return run


@v_args(inline=True)
class _Builder(Transformer):
    """Build scripts bottom up; each method is named as its rule."""

    def start(self, *scripts: Script) -> list[Script]:
        return list(scripts)

    def scenario(self, title: Any, *parts: Any) -> Script:
        script = Script(title[1:-1])
        for part in parts:
            if isinstance(part, Step):
                script.steps.append(part)
            else:
                name, value = part
                if name:
                    setattr(script, name, value)
        return script

    def given_vms(self, count: Any) -> tuple[str, int]:
        return "vms", int(count)

    def given_seed(self, seed: Any) -> tuple[str, int]:
        return "seed", int(seed)

    def given_load(self, load: Any) -> tuple[str, float]:
        return "load", float(load)

    def given_traffic(self, time: Any) -> tuple[str, float]:
        return "traffic", _read_time(time)

    def step(self, time: Any, act: Act) -> Step:
        return Step(_read_time(time), act, time.line)

    def coordinator(self) -> None:
        return None

    def vm(self, number: Any) -> int:
        return int(number)

    def kill(self, target: int | None) -> Act:
        return _at_host(target, lambda stage, host: stage.kill(host))

    def freeze(self, target: int | None, time: Any) -> Act:
        seconds = _read_time(time)
        return _at_host(target, lambda stage, host: stage.freeze(host, seconds))

    def isolate(self, target: int | None, time: Any) -> Act:
        seconds = _read_time(time)
        return _at_host(target, lambda stage, host: stage.isolate(host, seconds))

    def cut(self, first: int | None, second: int | None, time: Any) -> Act:
        seconds = _read_time(time)

        async def run(stage: Stage) -> None:
            hosts = _find_host(stage, first), _find_host(stage, second)
            if None not in hosts and hosts[0] != hosts[1]:
                stage.cut(hosts[0], hosts[1], seconds)

        return run

    def stop(self, target: int | None) -> Act:
        return _at_host(target, lambda stage, host: stage.stop(host))

    def add(self) -> Act:
        async def run(stage: Stage) -> None:
            await stage.add_vm()

        return run

    def store_down(self, time: Any) -> Act:
        seconds = _read_time(time)
        return _plainly(lambda stage: stage.stop_store(seconds))

    def store_refuses(self, target: int | None, time: Any) -> Act:
        seconds = _read_time(time)
        return _at_host(target, lambda stage, host: stage.refuse_store(host, seconds))

    def crash(self, server: Any, time: Any) -> Act:
        seconds = _read_time(time)
        return _plainly(lambda stage: stage.crash(str(server), seconds))

    def remove(self, server: Any) -> Act:
        return _plainly(lambda stage: stage.remove(str(server)))

    def change_key(self, account: Any) -> Act:
        async def run(stage: Stage) -> None:
            stage.clients.old_key_share = 0.3
            version = stage.store.config.version
            stage.add_key(str(account), f"{account}-{version}")

        return run

    def change_configuration(self) -> Act:
        return _plainly(lambda stage: stage.apply_config())

    def lose(self, share: Any) -> Act:
        value = _read_share(share)
        return _plainly(lambda stage: setattr(stage.network, "loss", value))

    def expect_promises(self) -> tuple[str, None]:
        return "", None

    def expect_served(self, share: Any) -> tuple[str, float]:
        return "least_served", _read_share(share)
