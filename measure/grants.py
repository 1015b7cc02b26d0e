"""Processor time of the coordinator for one request: ``python -m measure.grants``.

The load is as much as the places bear, or a quarter more, with refusals.
"""

from __future__ import annotations

import random

from fireflyquay.dispatch import (
    ConfigReplica,
    Coordinator,
    Grant,
    QuotaLimiter,
    RetryBudget,
    RunEnded,
    SlotRequest,
    SlotScheduler,
    SlotSchedulerSettings,
)
from fireflyquay.world import (
    AttemptId,
    BackendEntry,
    BackendPhase,
    BackendServerId,
    ClientAccountId,
    Fingerprint,
    Incarnation,
    ServiceId,
    ZoneId,
)

from ._timing import Cost, time_calls

SERVICE = ServiceId("engines")
OWN = Incarnation("vm")
SLOTS = 5
REQUESTS = 3000
# Seconds that a request holds its place.
RUN_SECONDS = 1.0
SIZES = (5, 70, 200, 600)
LOADS = (0.8, 1.25)


class Load:
    """Send requests to a coordinator at a rate and end them in time."""

    def __init__(self, backends: int, load: float) -> None:
        scheduler = SlotScheduler(SlotSchedulerSettings(), random.Random(1))
        retries, quotas = RetryBudget(0.2, 50, 10), QuotaLimiter()
        self._coordinator = Coordinator(ConfigReplica(), scheduler, retries, quotas)
        self._coordinator.set_backends(_make_entry(n) for n in range(backends))
        self._step = RUN_SECONDS / (backends * SLOTS * load)
        self._runs: list[tuple[float, Grant]] = []
        self._first = 0

    def send(self, number: int) -> None:
        """Send one request, after ending those whose time has come."""
        now = number * self._step
        decisions = self._coordinator.submit(_make_ask(number), now)
        while self._first < len(self._runs) and self._runs[self._first][0] <= now:
            grant = self._runs[self._first][1]
            self._first += 1
            ended = RunEnded(grant.number, grant.backend, 40, 0.05, False)
            decisions += self._coordinator.handle_message(OWN, ended, now)
        decisions += self._coordinator.advance(now)
        for decision in decisions:
            if isinstance(decision, Grant):
                self._runs.append((now + RUN_SECONDS, decision))


def _make_entry(number: int) -> BackendEntry:
    name = BackendServerId(f"s{number}")
    zone = ZoneId(f"z{number % 3}")
    return BackendEntry(
        name, SERVICE, "10.0.0.1", 80, zone, SLOTS, BackendPhase.READY, 1
    )


def _make_ask(number: int) -> SlotRequest:
    return SlotRequest(
        owner=OWN,
        number=number,
        attempt_id=AttemptId(str(number)),
        service=SERVICE,
        account=ClientAccountId(""),
        rank=(0, number % 3),
        zone=ZoneId("z0"),
        prompt_tokens=1000,
        max_output_tokens=100,
        quota_tokens=1100.0,
        seconds_to_objective=0.5,
        seconds_to_give_up=2.0,
        seconds_to_deadline=15.0,
        max_gap=0.2,
        fingerprint=Fingerprint(str(number)),
    )


def measure_grants() -> dict[tuple[int, float], Cost]:
    """Return the cost of one request by backend servers and load."""
    return {
        (size, load): time_calls(
            REQUESTS, lambda size=size, load=load: Load(size, load).send
        )
        for size in SIZES
        for load in LOADS
    }


def main() -> None:
    """Print a table of microseconds."""
    print("| backend servers | load | median us | low | high |")
    print("| --- | --- | --- | --- | --- |")
    for (size, load), cost in measure_grants().items():
        print(f"| {size} | {load} | {cost.median} | {cost.low} | {cost.high} |")


if __name__ == "__main__":
    main()
