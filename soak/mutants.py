"""Gateway program with one mechanism disabled, to show that the soak test can fail."""

from __future__ import annotations

import asyncio
import runpy
import sys
from collections.abc import Callable
from pathlib import Path

from fireflyquay.dispatch._backend_load import BackendLoad
from fireflyquay.dispatch._request_limit import RequestLimit
from fireflyquay.gateway import _gateway, _ingress
from fireflyquay.gateway._ingress import Ingress, RejectionError
from fireflyquay.world import Code

START_SCRIPT = Path(__file__).parents[1] / "platform" / "start.py"


def repeat_everything() -> None:
    """Retry requests that may have run."""
    Ingress._may_retry = lambda *_: True


def promise_everything() -> None:
    """Report to clients that failed requests have not run."""
    original = Ingress._raise_failure

    def raise_failure(self: Ingress, call: object, outcome: object) -> None:
        call.may_have_run = False
        try:
            original(self, call, outcome)
        except RejectionError:
            raise RejectionError(Code.OVERLOADED, "not run", 0.5) from None

    Ingress._raise_failure = raise_failure


def pass_cut_streams() -> None:
    """End interrupted streams as if they were complete."""
    original = Ingress._send_failure

    async def send_failure(self: Ingress, exchange, responder, failure) -> None:  # noqa: ANN001
        if responder.started:
            await responder.finish()
            return
        await original(self, exchange, responder, failure)

    Ingress._send_failure = send_failure


def trust_old_keys() -> None:
    """Keep the first configuration and accept it at any age."""
    _ingress.STALE_MARGIN_SECONDS = -3600.0
    _gateway.MAX_READY_AGE_SHARE = 1000.0
    from fireflyquay.dispatch import ConfigReplica

    original = ConfigReplica.apply_config

    def apply_config(self: ConfigReplica, config, freshness) -> bool:  # noqa: ANN001
        return original(self, config, freshness) if self.config is None else False

    ConfigReplica.apply_config = apply_config


def answer_never() -> None:
    """Send no response to requests that fail."""

    async def send_failure(self: Ingress, exchange, responder, failure) -> None:  # noqa: ANN001
        await asyncio.sleep(3600)

    Ingress._send_failure = send_failure


def ignore_limits() -> None:
    """Grant requests beyond the limits that backend servers state."""
    RequestLimit.can_grant = lambda *_: True


def ignore_versions() -> None:
    """Continue streams at any software version."""
    BackendLoad.can_continue = lambda *_: True


def fail_to_learn() -> None:
    """Fail on what the end of a run tells of a backend server."""

    def record_end(self: BackendLoad, *_: object) -> None:
        raise ZeroDivisionError

    BackendLoad.record_end = record_end


MUTANTS: dict[str, Callable[[], None]] = {
    it.__name__: it
    for it in (
        repeat_everything,
        promise_everything,
        pass_cut_streams,
        trust_old_keys,
        answer_never,
        ignore_limits,
        ignore_versions,
        fail_to_learn,
    )
}


if __name__ == "__main__":
    MUTANTS[sys.argv[1]]()
    runpy.run_path(str(START_SCRIPT), run_name="__main__")
