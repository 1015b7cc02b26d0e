"""When a request should leave its availability zone, and when it should wait there.

Guards against zones that are short of slots for a second, for long or by turns, while
others have free ones: requests wait no longer than leaving costs, and don't leave for
gains that no caller notices.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum
from typing import Annotated

from msgspec import Meta

from fireflyquay.world import ServiceId, ZoneId

from ._backend_load import BackendLoad, SlotRequestKey
from ._slot_messages import SlotRequest
from ._slot_queue import QueuedRequest

# Typical length of a token in a prompt, and of one in a stream with its framing.
BYTES_PER_PROMPT_TOKEN = 4
BYTES_PER_OUTPUT_TOKEN = 30
BYTES_PER_MB = 1_000_000


@dataclass(frozen=True, slots=True)
class ZoneSettings:
    """Hold what it costs to leave an availability zone.

    Without a round trip and a price, the zone only breaks ties.
    """

    # Seconds of a round trip between two availability zones.
    round_trip: Annotated[float, Meta(ge=0, le=60)] = 0.0
    # Seconds of a caller's wait that are worth a megabyte sent between two zones.
    price_per_mb: Annotated[float, Meta(ge=0, le=86400)] = 0.0
    # Part of its latency objective that a request must gain, beyond the cost, to leave
    # a zone that has an acceptable slot.
    margin: Annotated[float, Meta(ge=0, le=100)] = 0.25
    # Seconds without an acceptable slot after which a zone is short.
    shortage: Annotated[float, Meta(ge=0, le=60)] = 0.05

    @property
    def has_costs(self) -> bool:
        """Return whether leaving a zone costs anything."""
        return self.round_trip > 0 or self.price_per_mb > 0


class DepartureCause(StrEnum):
    """Name why a request left its availability zone."""

    NO_SERVER = "NO_SERVER"
    SHORT = "SHORT"
    CROWDED = "CROWDED"
    URGENT = "URGENT"
    GAIN = "GAIN"
    LATE = "LATE"


@dataclass(frozen=True, slots=True)
class Candidate:
    """Hold the forecast of a request at one backend server."""

    load: BackendLoad
    is_late: bool
    # Until the first output, with the way to the server and back; and with the
    # weighted time in the slot besides.
    first_output: float
    score: float


# Zone of the entry VM, service and rank. Ranks differ in what is acceptable.
_Demand = tuple[ZoneId, ServiceId, tuple[int, int]]


@dataclass(slots=True)
class _Shortage:
    """Hold the lack of acceptable slots of one zone."""

    # Loop times at which it began and was last seen.
    since: float
    seen_at: float
    # The request that waits for a slot in the zone.
    holder: SlotRequestKey
    is_short: bool = False


class ZonePreference:
    """Decide whether a request is placed in its zone, leaves it or waits.

    A request leaves a zone that has an acceptable slot only if it gains more than the
    cost and a margin. Without an acceptable slot one request of each rank waits until
    the zone has been short for a stated time; all others leave, as all do from then on.
    """

    def __init__(self, settings: ZoneSettings) -> None:
        self._settings = settings
        self._shortages: dict[_Demand, _Shortage] = {}
        # Grants outside of the requests' zones, and within them, while that has a cost.
        self.departures: defaultdict[DepartureCause, int] = defaultdict(int)
        self.stays = 0
        # Called with zone, service and rank when a zone becomes short or is no more.
        self.on_change: (
            Callable[[ZoneId, ServiceId, tuple[int, int], bool], None] | None
        ) = None

    @property
    def is_active(self) -> bool:
        """Return whether leaving a zone costs anything."""
        return self._settings.has_costs

    @property
    def short_count(self) -> int:
        """Return in how many zones a rank is short of slots."""
        return sum(it.is_short for it in self._shortages.values())

    @property
    def departure_count(self) -> int:
        """Return the number of grants outside of the requests' zones."""
        return sum(self.departures.values())

    def get_round_trip(self, request: SlotRequest, load: BackendLoad) -> float:
        """Return the seconds of the way between the zones of VM and server."""
        is_own = load.entry.zone == request.zone
        return 0.0 if is_own else self._settings.round_trip

    def compute_price(self, request: SlotRequest) -> float:
        """Return what the bytes cost that leave the zone, in seconds."""
        body = request.body_bytes or request.prompt_tokens * BYTES_PER_PROMPT_TOKEN
        stream = request.max_output_tokens * BYTES_PER_OUTPUT_TOKEN
        return self._settings.price_per_mb * (body + stream) / BYTES_PER_MB

    def choose(
        self,
        own: Candidate | None,
        other: Candidate | None,
        item: QueuedRequest,
        has_own_servers: bool,
        now: float,
    ) -> Candidate | None:
        """Return the better candidate, or None if waiting in the zone is better.

        ``own`` and ``other`` are the best candidates inside and outside of the zone.
        """
        request = item.request
        demand = (request.zone, request.service, request.rank)
        if own is not None and not own.is_late:
            self._end_shortage(demand)
            if other is not None and self._is_worth_leaving(own, other, request):
                return self._leave(other, DepartureCause.GAIN)
            self.stays += 1
            return own
        if other is None or other.is_late:
            return self._choose_late(own, other, request)
        if not has_own_servers:
            return self._leave(other, DepartureCause.NO_SERVER)
        shortage = self._record_lack(demand, item, now)
        if shortage.is_short:
            return self._leave(other, DepartureCause.SHORT)
        if shortage.holder != item.key:
            return self._leave(other, DepartureCause.CROWDED)
        waited = now - item.queued_at
        latest = waited + self._settings.shortage + other.first_output
        if latest > request.seconds_to_objective:
            return self._leave(other, DepartureCause.URGENT)
        return None

    def _is_worth_leaving(
        self, own: Candidate, other: Candidate, request: SlotRequest
    ) -> bool:
        """Return whether the caller gains more than the price and the margin.

        Forecasts outside of the zone include the way there and back. The time that a
        run keeps its slot does not count: the slot in the other zone is taken from that
        zone's own callers.
        """
        if other.is_late:
            return False
        objective = request.latency_objective or request.seconds_to_objective
        margin = self._settings.margin * max(0.0, objective)
        gain = own.first_output - other.first_output
        return gain > self.compute_price(request) + margin

    def _choose_late(
        self, own: Candidate | None, other: Candidate | None, request: SlotRequest
    ) -> Candidate | None:
        """Return the better of two candidates that would both be late."""
        if own is None or other is None:
            return own or other
        price = self.compute_price(request)
        return own if own.score <= other.score + price else other

    def record_late_grant(self, request: SlotRequest, load: BackendLoad) -> None:
        """Record a grant that is expected to be late."""
        if not self.is_active:
            return
        if load.entry.zone == request.zone:
            self.stays += 1
        else:
            self.departures[DepartureCause.LATE] += 1

    def _leave(self, other: Candidate, cause: DepartureCause) -> Candidate:
        self.departures[cause] += 1
        return other

    def _record_lack(
        self, demand: _Demand, item: QueuedRequest, now: float
    ) -> _Shortage:
        """Record that no own slot is acceptable; return the zone's shortage."""
        shortage = self._shortages.get(demand)
        limit = self._settings.shortage
        if shortage is None or now - shortage.seen_at > limit:
            self._end_shortage(demand)
            shortage = self._shortages[demand] = _Shortage(now, now, item.key)
        shortage.seen_at = now
        if not shortage.is_short and now - shortage.since >= limit:
            shortage.is_short = True
            self._report(demand, True)
        return shortage

    def _end_shortage(self, demand: _Demand) -> None:
        shortage = self._shortages.pop(demand, None)
        if shortage is not None and shortage.is_short:
            self._report(demand, False)

    def _report(self, demand: _Demand, is_short: bool) -> None:
        if self.on_change is not None:
            self.on_change(*demand, is_short)
