"""Operators' orders of roll-outs: access, conditional changes and views."""

from __future__ import annotations

import asyncio
from abc import ABC, abstractmethod
from collections import defaultdict
from collections.abc import Awaitable, Callable, Mapping
from typing import TYPE_CHECKING, TypeVar

import msgspec

from fireflyquay.world import (
    Code,
    FireflyquayError,
    RolloutOrder,
    RolloutState,
    ServiceId,
    SoftwareVersion,
)

from ._record_repository import (
    MAX_ATTEMPTS,
    OPERATION_TIMEOUT_SECONDS,
    OUTAGE_SENTENCE,
    RETRY_DELAY_SECONDS,
    UNCONFIRMED_SENTENCE,
    make_unavailable_error,
)

if TYPE_CHECKING:
    from fireflyquay.dispatch import RolloutProgress
    from fireflyquay.gateway import StoredRecord

T = TypeVar("T")
FINAL_STATES = (RolloutState.COMPLETED, RolloutState.ROLLED_BACK)


class RolloutOrders(ABC):
    """Access orders in the store; methods raise HttpFailure if the store fails."""

    @property
    @abstractmethod
    def unreadable(self) -> Mapping[str, str]:
        """Return why orders of the last list can't be read, by their name."""

    @abstractmethod
    async def list_rollouts(self) -> tuple[RolloutOrder, ...]:
        """Return all readable orders, with the states written last."""

    @abstractmethod
    async def read_rollout_progress(
        self, service: ServiceId
    ) -> StoredRecord[RolloutProgress]:
        """Return the progress of a service's roll-out; empty if none is stored."""

    @abstractmethod
    async def read_order_revision(self, service: ServiceId) -> int:
        """Return the revision of a service's order, also an odd one; 0 without any."""

    @abstractmethod
    async def write_order(
        self,
        service: ServiceId,
        target: SoftwareVersion,
        duration_seconds: float,
        revision: int,
    ) -> bool:
        """Write an order; return False if its revision is another by now."""

    @abstractmethod
    async def remove_order(self, service: ServiceId, revision: int) -> bool:
        """Remove an order; return False if its revision is another by now."""


class EvidenceView(msgspec.Struct, frozen=True):
    """Hold what is known of a version on a route, at one server or at all."""

    version: SoftwareVersion
    route: str
    # Empty for the sum over all backend servers.
    backend: str
    responses: int
    failures: int
    slow: int


class RolloutView(msgspec.Struct, frozen=True):
    """Hold an order with its state and evidence, as it is printed."""

    service: ServiceId
    target: SoftwareVersion
    duration_seconds: float
    revision: int
    # State that is written to the order; empty if none is for this target.
    state: str
    # What the gateways have stored; empty if nothing for this target.
    phase: str
    reason: str
    requests_seen: int
    requests_reserved: int
    has_lost_history: bool
    evidence: tuple[EvidenceView, ...]


def get_state(order: RolloutOrder) -> RolloutState | None:
    """Return the state of an order; None if the stated one is of another target."""
    return order.state if order.stated_target == order.target else None


def make_view(order: RolloutOrder, progress: RolloutProgress) -> RolloutView:
    """Return the view of an order; progress of another target is left out."""
    state = get_state(order)
    is_current = progress.target == order.target
    return RolloutView(
        service=order.service,
        target=order.target,
        duration_seconds=order.duration_seconds,
        revision=order.revision,
        state=state.value if state else "",
        phase=progress.phase.value if is_current else "",
        reason=progress.reason if is_current else "",
        requests_seen=progress.seen if is_current else 0,
        requests_reserved=progress.reserved if is_current else 0,
        has_lost_history=is_current and progress.has_lost_history,
        evidence=_sum_evidence(progress) if is_current else (),
    )


async def change_order(
    orders: RolloutOrders,
    service: ServiceId,
    target: SoftwareVersion,
    duration_seconds: float,
    replaces: bool,
) -> tuple[RolloutOrder, bool]:
    """Write an order; return it as stored, and whether it was changed.

    Raises FireflyquayError with VERSION_CONFLICT if another order is in force and
    ``replaces`` is false, or if a verdict on the version still stands there.
    """
    has_written = False

    async def attempt() -> tuple[RolloutOrder, bool] | None:
        nonlocal has_written
        listed = await orders.list_rollouts()
        found = next((it for it in listed if it.service == service), None)
        if found and _check_target(found, target, duration_seconds):
            return found, has_written
        if found is None:
            revision = await orders.read_order_revision(service)
        else:
            revision = found.revision
        is_over = found is not None and get_state(found) in FINAL_STATES
        if revision and not (is_over or replaces):
            current = f"moves to {found.target}" if found else "has an odd order"
            raise _make_conflict_error(
                f"Service {service} {current} already. "
                "Use --replace to put this order in its place"
            )
        has_written = True
        await orders.write_order(service, target, duration_seconds, revision)
        # Reads it back, also after a conflict: a repeated write may have been applied.
        return None

    return await _repeat(attempt, UNCONFIRMED_SENTENCE)


def _check_target(
    found: RolloutOrder, target: SoftwareVersion, duration_seconds: float
) -> bool:
    """Return whether an order is as wanted; raise if a verdict hinders the change."""
    has_verdict = found.state in FINAL_STATES and found.stated_target == target
    is_completed = found.state is RolloutState.COMPLETED and found.target == target
    if has_verdict and not is_completed:
        # The verdict would be taken for one on the new order.
        raise _make_conflict_error(
            f"The order of {found.service} states that version {target} was "
            f"{found.state}. Withdraw it first to try the version again"
        )
    is_same = found.duration_seconds == duration_seconds
    return found.target == target and (has_verdict or is_same)


async def withdraw_order(orders: RolloutOrders, service: ServiceId) -> None:
    """Remove an order; raise FireflyquayError with NOT_FOUND if there is none."""
    has_written = False

    async def attempt() -> bool | None:
        nonlocal has_written
        revision = await orders.read_order_revision(service)
        if not revision:
            if not has_written:
                sentence = f"Service {service} has no order of a roll-out."
                raise FireflyquayError(Code.NOT_FOUND, sentence)
            return True
        has_written = True
        return await orders.remove_order(service, revision) or None

    await _repeat(attempt, UNCONFIRMED_SENTENCE)


async def read_views(orders: RolloutOrders) -> list[RolloutView]:
    """Return the views of all readable orders, by service."""

    async def attempt() -> list[RolloutView]:
        listed = sorted(await orders.list_rollouts(), key=lambda it: it.service)
        return [
            make_view(it, (await orders.read_rollout_progress(it.service)).record)
            for it in listed
        ]

    return await _repeat(attempt, OUTAGE_SENTENCE)


async def _repeat(attempt: Callable[[], Awaitable[T | None]], sentence: str) -> T:
    """Return the first result that is not None; raise FireflyquayError without any."""
    from fireflyquay.links import HttpFailure

    cause = ""
    try:
        async with asyncio.timeout(OPERATION_TIMEOUT_SECONDS):
            for _ in range(MAX_ATTEMPTS):
                try:
                    result = await attempt()
                except HttpFailure as failure:
                    cause = f" Last failure: {failure.sentence}"
                    await asyncio.sleep(RETRY_DELAY_SECONDS)
                    continue
                if result is not None:
                    return result
    except TimeoutError:
        cause = cause or " No response came in time."
    raise make_unavailable_error(sentence + cause)


def _sum_evidence(progress: RolloutProgress) -> tuple[EvidenceView, ...]:
    """Return the sums over all coordinators, for each route and for each server."""
    sums: dict[tuple[SoftwareVersion, str, str], list[int]] = defaultdict(
        lambda: [0, 0, 0]
    )
    for part in progress.parts.values():
        for item in part.evidence:
            counts = item.responses, item.failures, item.slow
            for backend in ("", item.backend):
                total = sums[item.version, item.route, backend]
                total[:] = (a + b for a, b in zip(total, counts, strict=True))
    return tuple(EvidenceView(*key, *sums[key]) for key in sorted(sums))


def _make_conflict_error(problem: str) -> FireflyquayError:
    return FireflyquayError(Code.VERSION_CONFLICT, f"{problem}; nothing was changed.")
