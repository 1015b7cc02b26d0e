"""Processor time of the coordinator per request: ``python -m measure.grants``.

The load is 0.8 of the capacity of all slots, or 1.25 of it with refusals.
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
OWN_VM = Incarnation("vm")
SLOTS = 5
REQUESTS = 3000
# Time for which a request occupies its slot.
RUN_SECONDS = 1.0
BACKEND_COUNTS = (5, 70, 200, 600)
LOAD_FACTORS = (0.8, 1.25)


class LoadGenerator:
    """Submit requests to a coordinator at a fixed rate and end their runs when due."""

    def __init__(self, backends: int, load: float) -> None:
        scheduler = SlotScheduler(SlotSchedulerSettings(), random.Random(1))
        retries, quotas = RetryBudget(0.2, 50, 10), QuotaLimiter()
        self._coordinator = Coordinator(
            OWN_VM, ConfigReplica(), scheduler, retries, quotas
        )
        self._coordinator.set_backends(_make_backend(n) for n in range(backends))
        self._interval = RUN_SECONDS / (backends * SLOTS * load)
        self._runs: list[tuple[float, Grant]] = []
        self._next_ending = 0

    def send(self, number: int) -> None:
        """Submit one request and end the runs that are due."""
        now = number * self._interval
        decisions = self._coordinator.submit(_make_slot_request(number), now)
        while (
            self._next_ending < len(self._runs)
            and self._runs[self._next_ending][0] <= now
        ):
            grant = self._runs[self._next_ending][1]
            self._next_ending += 1
            ended = RunEnded(grant.number, grant.backend, 40, 0.05, False)
            decisions += self._coordinator.handle_message(OWN_VM, ended, now)
        decisions += self._coordinator.advance(now)
        for decision in decisions:
            if isinstance(decision, Grant):
                self._runs.append((now + RUN_SECONDS, decision))


def _make_backend(number: int) -> BackendEntry:
    name = BackendServerId(f"s{number}")
    zone = ZoneId(f"z{number % 3}")
    return BackendEntry(
        name, SERVICE, "10.0.0.1", 80, zone, SLOTS, BackendPhase.READY, 1
    )


def _make_slot_request(number: int) -> SlotRequest:
    return SlotRequest(
        owner=OWN_VM,
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
    """Return the cost per request by number of backend servers and load."""
    return {
        (size, load): time_calls(
            REQUESTS, lambda size=size, load=load: LoadGenerator(size, load).send
        )
        for size in BACKEND_COUNTS
        for load in LOAD_FACTORS
    }


def main() -> None:
    """Print the costs in microseconds as a Markdown table."""
    print("| backend servers | load | median us | low | high |")
    print("| --- | --- | --- | --- | --- |")
    for (size, load), cost in measure_grants().items():
        print(f"| {size} | {load} | {cost.median} | {cost.low} | {cost.high} |")


if __name__ == "__main__":
    main()
