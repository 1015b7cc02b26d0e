"""Tests of grants, refusals and limits of the coordinator."""

from dataclasses import replace

import pytest

from fireflyquay.dispatch import (
    ActiveRun,
    ActiveRunsReport,
    Cancellation,
    Detach,
    FirstOutput,
    Grant,
    Handover,
    QuotaLimiter,
    QuotaMargin,
    Refusal,
    RetryBudget,
    RunEnded,
    SlotSchedulerSettings,
)
from fireflyquay.world import Code, Incarnation, Quota, QuotaUnit

from .builders import (
    ACCOUNT,
    OTHER_VM,
    OWN_VM,
    make_account,
    make_backend_entry,
    make_coordinator,
    make_request,
    make_vm,
)


def list_granted_keys(decisions):
    return [
        (decision.owner, decision.number)
        for decision in decisions
        if isinstance(decision, Grant)
    ]


def test_free_slot_goes_to_most_urgent_rank():
    coordinator = make_coordinator()
    coordinator.set_backends([make_backend_entry("s1", slots=1)])
    assert list_granted_keys(coordinator.submit(make_request(1, rank=2), 0.0)) == [
        (OWN_VM, 1)
    ]
    assert coordinator.submit(make_request(2, rank=2), 0.1) == []
    assert coordinator.submit(make_request(3, OTHER_VM, rank=0), 0.2) == []
    decisions = coordinator.handle_message(
        OWN_VM, RunEnded(1, "s1", 50, 0.0, False), 0.3
    )
    assert list_granted_keys(decisions) == [(OTHER_VM, 3)]


def test_on_time_request_precedes_late_one_of_same_rank():
    coordinator = make_coordinator()
    coordinator.set_backends([make_backend_entry("s1", slots=1)])
    coordinator.submit(make_request(1), 0.0)
    coordinator.submit(make_request(2, seconds_to_objective=0.05), 0.0)
    coordinator.submit(make_request(3, seconds_to_objective=1.0), 0.1)
    decisions = coordinator.handle_message(
        OWN_VM, RunEnded(1, "s1", 50, 0.0, False), 0.2
    )
    assert list_granted_keys(decisions) == [(OWN_VM, 3)]


def test_expired_request_is_refused_with_retry_after():
    coordinator = make_coordinator()
    coordinator.set_backends([make_backend_entry("s1", slots=1)])
    coordinator.submit(make_request(1), 0.0)
    coordinator.submit(make_request(2, seconds_to_give_up=2.0), 0.0)
    decisions = [d for at in (0.5, 1.0, 1.5, 2.0) for d in coordinator.advance(at)]
    [refusal] = decisions
    assert isinstance(refusal, Refusal)
    assert refusal.code is Code.OVERLOADED
    assert refusal.retry_after > 0


def test_refusal_states_why_the_request_got_no_slot():
    coordinator = make_coordinator()
    coordinator.set_backends([make_backend_entry("s1", slots=1)])
    coordinator.submit(make_request(0), 0.0)
    decisions = coordinator.submit(make_request(1, seconds_to_give_up=0.1), 0.0)
    for number in range(2, 9):
        decisions += coordinator.submit(
            make_request(number, seconds_to_objective=0.4), 0.0
        )
    for at in (0.1, 1.0, 2.0):
        decisions += coordinator.advance(at)
    reasons = [it.reason for it in decisions if isinstance(it, Refusal)]
    assert len(reasons) == 8
    for cause in ("longest wait is over", "no slot is expected", "it is late"):
        assert any(cause in reason for reason in reasons)


def test_request_without_backend_servers_is_refused_at_once():
    [refusal] = make_coordinator().submit(make_request(1), 0.0)
    assert refusal.code is Code.NO_BACKEND_SERVER


@pytest.mark.parametrize("slots", [0, -1])
def test_backend_servers_without_slots_get_no_requests(slots):
    coordinator = make_coordinator()
    coordinator.set_backends(
        [make_backend_entry("s1"), make_backend_entry("s2", slots)]
    )
    grants = [coordinator.submit(make_request(number), 0.0) for number in range(4)]
    assert {it.backend for decisions in grants for it in decisions} == {"s1"}
    coordinator.set_backends([make_backend_entry("s2", slots)])
    (refusal,) = coordinator.submit(make_request(9), 0.1)
    assert refusal.code is Code.NO_BACKEND_SERVER
    decisions = coordinator.advance(9.0)
    assert {it.code for it in decisions} == {Code.NO_BACKEND_SERVER}


def test_waiting_requests_are_refused_when_the_last_backend_server_leaves():
    coordinator = make_coordinator()
    coordinator.set_backends([make_backend_entry("s1", slots=1)])
    coordinator.submit(make_request(1), 0.0)
    coordinator.submit(make_request(2, OTHER_VM), 0.0)
    coordinator.set_backends([])
    [refusal] = coordinator.advance(0.1)
    assert (refusal.owner, refusal.number) == (OTHER_VM, 2)
    assert refusal.code is Code.NO_BACKEND_SERVER
    assert coordinator.advance(0.2) == []


def test_account_quota_holds_across_vms():
    coordinator = make_coordinator(make_account(rate=1000, burst=3000))
    coordinator.set_backends([make_backend_entry("s1", slots=50)])
    requests = [
        make_request(n, owner, prompt_tokens=900, output_tokens=100)
        for n in (1, 2)
        for owner in (OWN_VM, OTHER_VM)
    ]
    decisions = [d for request in requests for d in coordinator.submit(request, 0.0)]
    assert len(list_granted_keys(decisions)) == 3
    [refusal] = [d for d in decisions if isinstance(d, Refusal)]
    assert refusal.code is Code.TOKENS_LIMITED
    assert refusal.retry_after == pytest.approx(1.0)


def test_cancelled_request_refunds_quota():
    coordinator = make_coordinator(make_account(rate=1, burst=1050))
    coordinator.set_backends([make_backend_entry("s1", slots=1)])
    coordinator.handle_message(OTHER_VM, make_request(1, OTHER_VM, account=""), 0.0)
    coordinator.submit(make_request(2), 0.0)
    coordinator.handle_message(OWN_VM, Cancellation(2), 0.1)
    coordinator.handle_message(OTHER_VM, RunEnded(1, "s1", 50, 0.0, False), 0.2)
    assert list_granted_keys(coordinator.submit(make_request(3), 0.3)) == [(OWN_VM, 3)]


def test_account_limits_cover_requests_tokens_and_in_flight():
    quotas = (Quota(QuotaUnit.REQUEST, 1, 3), Quota(QuotaUnit.TOKEN, 1, 2500))
    account = replace(make_account(), quotas=quotas, max_in_flight=2)
    coordinator = make_coordinator(account)
    coordinator.set_backends([make_backend_entry("s1", slots=50)])
    tokens = dict(prompt_tokens=900, output_tokens=100)
    assert list_granted_keys(coordinator.submit(make_request(1, **tokens), 0.0)) == [
        (OWN_VM, 1)
    ]
    assert list_granted_keys(coordinator.submit(make_request(2, **tokens), 0.0)) == [
        (OWN_VM, 2)
    ]
    [in_flight_refusal] = coordinator.submit(make_request(3, **tokens), 0.0)
    assert in_flight_refusal.code is Code.IN_FLIGHT_LIMITED
    coordinator.handle_message(OWN_VM, RunEnded(1, "s1", 50, 0.0, False), 0.0)
    [token_refusal] = coordinator.submit(make_request(4, **tokens), 0.0)
    assert token_refusal.code is Code.TOKENS_LIMITED
    assert list_granted_keys(
        coordinator.submit(make_request(5, prompt_tokens=0, output_tokens=0), 0.0)
    ) == [(OWN_VM, 5)]
    coordinator.handle_message(OWN_VM, RunEnded(5, "s1", 0, 0.0, False), 0.0)
    [rate_refusal] = coordinator.submit(
        make_request(6, prompt_tokens=0, output_tokens=0), 0.0
    )
    assert rate_refusal.code is Code.RATE_LIMITED


def simulate_overload(seconds, arrivals_per_second, run_seconds):
    """Overload one slot; return the waits by refused request, and the late grants."""
    coordinator = make_coordinator()
    coordinator.set_backends([make_backend_entry("s1", slots=1)])
    arrived, running, refused, late_grants = {}, {}, {}, 0
    steps = round(seconds * 100)
    for step in range(steps):
        now = step / 100
        decisions = []
        for key, ends in list(running.items()):
            if ends <= now:
                del running[key]
                ended = RunEnded(key, "s1", 50, 0.0, False)
                decisions += coordinator.handle_message(OWN_VM, ended, now)
        if step % round(100 / arrivals_per_second) == 0:
            arrived[step] = now
            request = make_request(
                step,
                seconds_to_objective=0.5,
                seconds_to_give_up=5.0,
                seconds_to_deadline=20.0,
            )
            decisions += coordinator.submit(request, now)
        decisions += coordinator.advance(now)
        for decision in decisions:
            if isinstance(decision, Grant):
                running[decision.number] = now + run_seconds
                late_grants += now - arrived[decision.number] > 0.5
            else:
                refused[decision.number] = now - arrived[decision.number]
    return refused, late_grants


def test_sustained_overload_refuses_late_requests_at_once():
    refused, _ = simulate_overload(20.0, 10, 0.2)
    assert len(refused) > 50
    waits = sorted(refused.values())
    # Late requests don't get a slot by waiting longer, so most are refused soon after
    # the objective of 0.5 s.
    assert waits[len(waits) * 9 // 10] < 1.2


def test_late_requests_of_short_burst_are_served():
    coordinator = make_coordinator()
    coordinator.set_backends([make_backend_entry("s1", slots=1)])
    decisions = []
    for number in range(4):
        request = make_request(
            number,
            seconds_to_objective=0.3,
            seconds_to_give_up=20.0,
            seconds_to_deadline=60.0,
        )
        decisions += coordinator.submit(request, 0.0)
    for step in range(1, 400):
        now = step / 100
        if step % 50 == 0:
            running = len(list_granted_keys(decisions)) - 1
            ended = RunEnded(running, "s1", 50, 0.0, False)
            decisions += coordinator.handle_message(OWN_VM, ended, now)
        decisions += coordinator.advance(now)
    assert [number for _, number in list_granted_keys(decisions)] == [0, 1, 2, 3]


def test_retries_stay_within_budget():
    coordinator = make_coordinator(retry_budget=RetryBudget(0.5, 1, 10))
    coordinator.set_backends([make_backend_entry("s1", slots=50)])
    for number in range(4):
        coordinator.submit(make_request(number), 0.0)
    retries = [
        coordinator.submit(make_request(10 + n, is_retry=True), 0.1)[0]
        for n in range(5)
    ]
    assert [isinstance(d, Grant) for d in retries] == [True] * 3 + [False] * 2
    assert retries[-1].code is Code.OVERLOADED


def test_new_coordinator_counts_runs_from_handover():
    coordinator = make_coordinator()
    coordinator.set_backends([make_backend_entry("s1", slots=1)])
    run = ActiveRun(make_request(7, OTHER_VM), "s1", 0.4)
    handover = Handover(make_vm(OTHER_VM), (run,), ((ACCOUNT, 1, 10.0),))
    coordinator.handle_message(OTHER_VM, handover, 1.0)
    assert coordinator.submit(make_request(1), 1.0) == []
    decisions = coordinator.handle_message(
        OTHER_VM, RunEnded(7, "s1", 50, 0.0, False), 1.2
    )
    assert list_granted_keys(decisions) == [(OWN_VM, 1)]


def test_handovers_are_credited_with_one_refill_whatever_the_size_of_the_fleet():
    # A burst of 8,400 tokens, refilled by 1,050 a second; each request has 1,050.
    coordinator = make_coordinator(make_account(rate=1050.0, burst=8400.0))
    coordinator.set_backends([make_backend_entry("s1", slots=50)])
    for number in range(8):
        vm = Incarnation(f"vm-{number}")
        handover = Handover(make_vm(vm), (), ((ACCOUNT, 1, 1050.0),))
        coordinator.handle_message(vm, handover, 10.0)
    # Eight requests were granted in four seconds, in which four were refilled.
    decisions = [it for n in range(6) for it in coordinator.submit(make_request(n), 10)]
    assert [isinstance(it, Grant) for it in decisions] == [True] * 4 + [False] * 2


def test_active_runs_report_frees_slot_after_lost_run_ended():
    coordinator = make_coordinator()
    coordinator.set_backends([make_backend_entry("s1", slots=1)])
    coordinator.handle_message(OTHER_VM, make_request(1, OTHER_VM), 0.0)
    coordinator.submit(make_request(2), 0.1)
    assert coordinator.handle_message(OTHER_VM, ActiveRunsReport(()), 0.2) == []
    assert list_granted_keys(
        coordinator.handle_message(OTHER_VM, ActiveRunsReport(()), 1.2)
    ) == [(OWN_VM, 2)]


def test_slots_of_removed_or_detached_vm_are_freed():
    for leave in (
        lambda c: c.remove_vm(OTHER_VM, 1.0),
        lambda c: c.handle_message(OTHER_VM, Detach(), 1.0),
    ):
        coordinator = make_coordinator()
        coordinator.set_backends([make_backend_entry("s1", slots=1)])
        coordinator.handle_message(OTHER_VM, make_request(1, OTHER_VM), 0.0)
        coordinator.submit(make_request(2), 0.1)
        assert list_granted_keys(leave(coordinator)) == [(OWN_VM, 2)]


def test_share_limits_granted_slots():
    coordinator = make_coordinator()
    coordinator.set_backends([make_backend_entry("s1", slots=8)])
    coordinator.set_share(0.25)
    decisions = [d for n in range(5) for d in coordinator.submit(make_request(n), 0.0)]
    assert len(list_granted_keys(decisions)) == 2


def test_slow_backend_gets_fewer_requests():
    coordinator = make_coordinator()
    coordinator.set_backends(
        [make_backend_entry("slow", 10), make_backend_entry("fast", 10)]
    )
    now, running, counts = 0.0, [], {"slow": 0, "fast": 0}
    for number in range(200):
        now += 0.05
        for _, request_number, backend in [run for run in running if run[0] <= now]:
            coordinator.handle_message(
                OWN_VM, RunEnded(request_number, backend, 50, 0.0, False), now
            )
        running = [run for run in running if run[0] > now]
        for decision in coordinator.submit(make_request(number, prompt_tokens=0), now):
            seconds = 0.5 if decision.backend == "slow" else 0.1
            running.append((now + seconds, decision.number, decision.backend))
            counts[decision.backend] += 1
    assert counts["fast"] > 3 * counts["slow"]


def test_backend_with_long_gaps_is_avoided():
    coordinator = make_coordinator()
    coordinator.set_backends([make_backend_entry("long-gaps", 9)])
    coordinator.submit(make_request(1), 0.0)
    coordinator.handle_message(OWN_VM, FirstOutput(1, "long-gaps"), 0.1)
    coordinator.handle_message(OWN_VM, RunEnded(1, "long-gaps", 50, 0.3, False), 0.5)
    coordinator.set_backends(
        [make_backend_entry("long-gaps", 9), make_backend_entry("short-gaps", 9)]
    )
    decisions = [
        decision
        for number in range(2, 7)
        for decision in coordinator.submit(make_request(number), 1.0)
    ]
    assert [decision.backend for decision in decisions] == ["short-gaps"] * 5


def list_chosen(names, count, period, end_run):
    """Run plain requests one by one; return the backend server of each.

    ``end_run`` gets the backend server and the time of a grant, and returns the seconds
    of the run and the fields of its end.
    """
    coordinator = make_coordinator()
    coordinator.set_backends([make_backend_entry(name, 10) for name in names])
    chosen = []
    for number in range(count):
        now = number * period
        [grant] = coordinator.submit(make_request(number, prompt_tokens=0), now)
        seconds, fields = end_run(grant.backend, now)
        ended = RunEnded(number, grant.backend, 0, 0.0, **fields)
        coordinator.handle_message(OWN_VM, ended, now + seconds)
        chosen.append(grant.backend)
    return chosen


def test_failing_backend_is_avoided_and_retried_later():
    def end_run(backend, now):
        return 0.05, {"failed": backend == "bad" and now < 6.0}

    chosen = list_chosen(["bad", "good"], 120, 0.1, end_run)
    assert chosen[20:60].count("bad") <= 10
    assert "bad" in chosen[60:]


def test_failures_at_all_backends_keep_all_slots_usable():
    coordinator = make_coordinator()
    names = ["s1", "s2", "s3"]
    coordinator.set_backends([make_backend_entry(name, 2) for name in names])
    for number in range(60):
        now = number * 0.02
        [grant] = coordinator.submit(make_request(number, prompt_tokens=0), now)
        coordinator.handle_message(
            OWN_VM, RunEnded(number, grant.backend, 0, 0.0, True), now + 0.01
        )
    requests = [make_request(100 + number, prompt_tokens=0) for number in range(6)]
    assert (
        len(
            list_granted_keys(
                [d for request in requests for d in coordinator.submit(request, 1.3)]
            )
        )
        == 6
    )


def test_restarted_backend_has_no_runs():
    coordinator = make_coordinator()
    coordinator.set_backends([make_backend_entry("s1", slots=1, born_ms=1)])
    coordinator.submit(make_request(1), 0.0)
    coordinator.set_backends([make_backend_entry("s1", slots=1, born_ms=2)])
    assert list_granted_keys(coordinator.submit(make_request(2), 0.1)) == [(OWN_VM, 2)]


def test_excluded_backend_is_not_chosen():
    coordinator = make_coordinator()
    coordinator.set_backends([make_backend_entry("s1"), make_backend_entry("s2")])
    for number in range(4):
        request = make_request(number, excluded=("s1",), is_retry=True)
        for decision in coordinator.submit(request, 0.0):
            assert decision.backend == "s2"


def test_no_rank_starves_under_sustained_overload():
    coordinator = make_coordinator()
    coordinator.set_backends([make_backend_entry("s1", slots=4)])
    ends, ranks, served, number = [], {}, {0: 0, 1: 0}, 0
    for step in range(2000):
        now = step * 0.01
        decisions = coordinator.advance(now)
        for ends_at, request_number in [end for end in ends if end[0] <= now]:
            ends.remove((ends_at, request_number))
            decisions += coordinator.handle_message(
                OWN_VM, RunEnded(request_number, "s1", 9, 0.0, False), now
            )
        for rank in (0, 0, 1):
            number += 1
            ranks[number] = rank
            request = make_request(
                number, rank=rank, prompt_tokens=0, seconds_to_objective=0.3
            )
            decisions += coordinator.submit(request, now)
        for decision in decisions:
            if isinstance(decision, Grant):
                served[ranks[decision.number]] += 1
                ends.append((now + 0.03, decision.number))
    # Twice as many requests of rank 0 arrive. The granted shares are moving averages,
    # so the starvation rule takes effect with a delay.
    least = SlotSchedulerSettings().min_grant_share
    assert served[1] > 0.8 * least * served[0] / 2
    assert served[0] > 2 * served[1]


def test_same_zone_breaks_ties():
    coordinator = make_coordinator()
    coordinator.set_backends(
        [make_backend_entry("far", 9, zone="b"), make_backend_entry("near", 9)]
    )
    [grant] = coordinator.submit(make_request(1), 0.0)
    assert grant.backend == "near"


def test_allowance_is_not_granted_again_after_a_handover_without_a_history():
    quotas = QuotaLimiter(QuotaMargin(units=5000.0))
    account = make_account(rate=1000.0, burst=2000.0)
    # Four seconds have refilled 4,000 tokens, and the burst has 2,000.
    quotas.record_sums(OTHER_VM, ((ACCOUNT, 6, 6000.0),), 10.0)
    assert quotas.charge(account, 100.0, 1.0, 10.0) is not None
    assert quotas.charge(account, 100.0, 1.0, 10.2) is None


def test_server_that_declines_seems_no_faster():
    # Guards against taking the time to a refusal for that of a run.
    def end_run(backend, now):
        has_run = backend == "runs"
        return 0.05 if has_run else 0.001, {"failed": False, "has_run": has_run}

    chosen = list_chosen(["declines", "runs"], 60, 0.2, end_run)
    assert chosen[20:].count("declines") <= 20


def make_versioned_entry():
    return replace(make_backend_entry("s1", slots=1), version="v1")


def make_begun_request(number, **overrides):
    """Return the request of a stream whose backend server has crashed."""
    fields = {"version": "v1", "seconds_to_objective": -0.5, "seconds_to_give_up": -0.1}
    return make_request(number, is_retry=True, **{**fields, **overrides})


def test_begun_stream_waits_for_a_slot_until_its_deadline():
    # Guards against bounding its wait as that of a request whose client has nothing.
    coordinator = make_coordinator()
    coordinator.set_backends([make_versioned_entry()])
    coordinator.submit(make_request(1), 0.0)
    begun = make_begun_request(2, seconds_to_deadline=6.0)
    decisions = coordinator.submit(begun, 0.0)
    for at in (0.5, 1.0, 3.0, 5.0):
        decisions += coordinator.advance(at)
    assert decisions == []
    ended = RunEnded(1, "s1", 50, 0.0, False)
    decisions = coordinator.handle_message(OWN_VM, ended, 5.5)
    assert list_granted_keys(decisions) == [(OWN_VM, 2)]


def test_begun_stream_is_refused_at_its_deadline():
    coordinator = make_coordinator()
    coordinator.set_backends([make_versioned_entry()])
    coordinator.submit(make_request(1), 0.0)
    coordinator.submit(make_begun_request(2, seconds_to_deadline=2.0), 0.0)
    [refusal] = coordinator.advance(2.1)
    assert isinstance(refusal, Refusal)


def test_begun_stream_precedes_fresh_requests_of_its_rank():
    # Guards against ranking it with late requests, which wait for all on time.
    coordinator = make_coordinator()
    coordinator.set_backends([make_versioned_entry()])
    coordinator.submit(make_request(1), 1.0)
    coordinator.submit(make_request(2, latency_objective=1.0), 1.1)
    coordinator.submit(make_begun_request(3, latency_objective=1.0), 1.2)
    coordinator.submit(make_request(4, rank=1, latency_objective=1.0), 1.2)
    ended = RunEnded(1, "s1", 50, 0.0, False)
    decisions = coordinator.handle_message(OWN_VM, ended, 1.4)
    assert list_granted_keys(decisions) == [(OWN_VM, 3)]


def test_begun_stream_is_not_refused_in_an_overload_of_its_rank():
    coordinator = make_coordinator()
    coordinator.set_backends([make_versioned_entry()])
    coordinator.submit(make_request(0), 0.0)
    decisions = coordinator.submit(make_begun_request(1), 0.0)
    for number in range(2, 9):
        request = make_request(number, seconds_to_objective=0.4)
        decisions += coordinator.submit(request, 0.0)
    for at in (0.1, 1.0, 2.0):
        decisions += coordinator.advance(at)
    refusals = [it for it in decisions if isinstance(it, Refusal)]
    assert len(refusals) >= 6
    assert 1 not in [it.number for it in refusals]


def test_server_that_starts_again_for_another_service_leaves_its_former_one():
    coordinator = make_coordinator()
    entry = make_backend_entry("s1", slots=1)
    coordinator.set_backends([entry])
    first = make_request(1)
    [grant] = coordinator.submit(first, 0.0)
    moved = replace(entry, service="other", born_ms=entry.born_ms + 1)
    coordinator.set_backends([moved])
    [refusal] = coordinator.submit(make_request(2), 0.1)
    assert refusal.code is Code.NO_BACKEND_SERVER
    # The run of the former service ended with its process, and occupies no slot.
    run = ActiveRun(first, grant.backend, 0.1)
    coordinator.handle_message(OWN_VM, ActiveRunsReport((run,)), 0.2)
    decisions = coordinator.submit(make_request(3, service="other"), 0.3)
    assert list_granted_keys(decisions) == [(OWN_VM, 3)]
