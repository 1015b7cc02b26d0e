"""The waits until a change is in force stay within the stated bound in sum."""

import pytest

from fireflyquay.gateway._replica_timing import (
    MAX_OWN_READ_AGE_SECONDS,
    PROBE_INTERVAL_SECONDS,
    ReplicaTiming,
)

READ_PERIOD_SECONDS = 0.5
# Adding floats may exceed the bound by a rounding error.
ROUNDING_SECONDS = 1e-9


@pytest.mark.parametrize("bound", [2.0, 2.5, 3.0, 4.0, 10.0])
def test_sum_of_waits_keeps_the_bound(bound):
    timing = ReplicaTiming(bound, READ_PERIOD_SECONDS)
    assert timing.compute_longest_delay() <= bound + ROUNDING_SECONDS


@pytest.mark.parametrize("bound", [0.5, 1.0, 2.0, 4.0])
def test_vm_whose_replicas_are_confirmed_as_usual_does_not_read(bound):
    timing = ReplicaTiming(bound, READ_PERIOD_SECONDS)
    usual_age = READ_PERIOD_SECONDS + PROBE_INTERVAL_SECONDS
    assert usual_age < timing.own_read_age <= MAX_OWN_READ_AGE_SECONDS
