"""Decision on which requests are refused, and when their clients should return."""

from __future__ import annotations

from enum import StrEnum

from fireflyquay.world import Code

from ._refused_requests import RefusedRequests
from ._retry_after_schedule import HONORED_TIME_SHARE
from ._service_state import ServiceState
from ._slot_messages import Refusal, SlotRequest
from ._slot_queue import QueuedRequest

# Retry-After for a service without backend servers, which may have one by then.
NO_BACKEND_RETRY_AFTER_SECONDS = 1.0
# Retry-After of a request on which the scheduler failed.
FAILURE_RETRY_AFTER_SECONDS = 0.5


class RefusalCause(StrEnum):
    """Name the condition on which a queued request is refused."""

    NO_SLOT_EXPECTED = "no slot is expected within its objective"
    LIMITED = "all backend servers state request limits"
    RESTING = "all backend servers requested a rest"
    LATE = "it is late and its rank is overloaded"
    WAIT_EXPIRED = "its longest wait is over"


class RefusalPolicy:
    """Refuse requests that can't meet their objectives, and schedule their returns.

    Guards against overload: a request that would only wait is refused at once.
    """

    def __init__(
        self, refused_requests: RefusedRequests, max_forecast_wait_share: float
    ) -> None:
        self._refused_requests = refused_requests
        self._max_forecast_wait_share = max_forecast_wait_share

    def find_cause(
        self,
        state: ServiceState,
        request: SlotRequest,
        limit_share: float,
        now: float,
    ) -> RefusalCause | None:
        """Return why a request can't meet its objective, or None if it may.

        A stream that continues is queued regardless: what its client has would be lost,
        and the forecast counts slots of other versions.
        """
        if request.has_begun:
            return None
        waiting = state.queue.count_on_time(request.rank, now)
        statistics = state.ranks[request.rank]
        seconds = statistics.limit_to_shortest_objective(request.seconds_to_objective)
        max_wait = self._max_forecast_wait_share * max(0.0, seconds)
        if statistics.estimate_wait(waiting, now) > max_wait:
            return RefusalCause.NO_SLOT_EXPECTED
        if state.estimate_limited_wait(waiting, limit_share) > max_wait:
            return RefusalCause.LIMITED
        if state.estimate_rest(request.owner, now) > max_wait:
            return RefusalCause.RESTING
        return None

    def refuse(
        self,
        state: ServiceState,
        item: QueuedRequest,
        cause: RefusalCause,
        slots: float,
        now: float,
    ) -> Refusal:
        """Return the refusal of a request that was removed from the queue.

        ``slots`` is how many slots requests like this one can occupy.
        """
        request = item.request
        statistics = state.ranks[request.rank]
        statistics.record_refusal()
        load = next(iter(state.loads.values()))
        backlog = load.forecast_work(
            len(state.queue), state.queue.prompt_tokens, state.queue.output_tokens
        )
        backlog, work = backlog / slots, load.forecast_run(request) / slots
        seconds = state.retry_schedule.schedule_retry(
            backlog + state.estimate_rest(request.owner, now),
            work,
            request.seconds_to_deadline,
            now,
            statistics.is_overloaded(now),
        )
        self._refused_requests.record(
            request.fingerprint, item.arrived_at, now + seconds, now
        )
        waited = now - item.queued_at
        reason = f"waited {waited:.2f} s among {len(state.queue)}: {cause}"
        return Refusal(request.owner, request.number, Code.OVERLOADED, seconds, reason)


def make_version_refusal(request: SlotRequest) -> Refusal:
    """Return the refusal of a stream whose software version has left."""
    reason = f"no backend server of version {request.version} is left"
    code = Code.STREAM_VERSION_GONE
    return Refusal(request.owner, request.number, code, None, reason)


def make_room_refusal(request: SlotRequest, limit: float) -> Refusal:
    """Return the refusal of a request that no backend server has room for.

    The code is one that builds before ``exceeds_room`` can read.
    """
    reason = f"{request.total_tokens} tokens exceed the room of {limit:.0f}"
    return Refusal(
        request.owner, request.number, Code.OVERLOADED, None, reason, exceeds_room=True
    )


def make_failure_refusal(request: SlotRequest) -> Refusal:
    """Return the refusal of a request that an unexpected error kept from a decision."""
    seconds = min(
        FAILURE_RETRY_AFTER_SECONDS,
        HONORED_TIME_SHARE * request.seconds_to_deadline,
    )
    reason = "the scheduler failed on the request"
    return Refusal(request.owner, request.number, Code.OVERLOADED, seconds, reason)


def make_no_backend_refusal(request: SlotRequest) -> Refusal:
    """Return the refusal of a request to a service without backend servers."""
    seconds = min(
        NO_BACKEND_RETRY_AFTER_SECONDS,
        HONORED_TIME_SHARE * request.seconds_to_deadline,
    )
    code, reason = Code.NO_BACKEND_SERVER, "no backend server is registered"
    return Refusal(request.owner, request.number, code, seconds, reason)
