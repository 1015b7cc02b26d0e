"""Tests of the evidence of what crashes backend servers."""

import itertools

from hypothesis import given, strategies as st

from fireflyquay.dispatch import (
    CrashNews,
    CrashTracker,
    SuspicionChange,
    list_suspects,
    make_stored_news,
)
from fireflyquay.dispatch._control_message import CrashRecord
from fireflyquay.dispatch._crash_tracker import (
    BEGINNING_SECONDS,
    CRASH_LIMIT,
    CRASH_LIMIT_AFTER_SOUND_RUNS,
    EVIDENCE_SECONDS,
    MAX_CRASHES,
    MAX_SOUND_SUSPECTS,
    MIN_QUARANTINE_SECONDS,
    TRIAL_SECONDS,
)

BAD, WORSE, OTHER, SYSTEM = "part bad", "part worse", "part other", "part system"
REQUEST = "request 1"


def crash(tracker, number, *suspects, at=None):
    """Record the crash of another backend server."""
    return tracker.record_crash(
        f"s{number}", 0, suspects, float(number) if at is None else at
    )


def is_refused(tracker, *suspects, at=10.0, may_try=False):
    return tracker.find_refusal(suspects, may_try, at) is not None


def crash_repeatedly(tracker, *suspects, count=CRASH_LIMIT):
    for number in range(count):
        crash(tracker, number, *suspects)


def test_suspects_are_the_request_and_its_shared_parts():
    assert list_suspects("f", ("a", "b", "a")) == ("request f", "part a", "part b")


def test_suspect_is_quarantined_at_crash_limit():
    tracker = CrashTracker()
    for number in range(CRASH_LIMIT):
        assert not is_refused(tracker, REQUEST)
        crash(tracker, number, REQUEST)
    assert is_refused(tracker, REQUEST)
    assert not is_refused(tracker, "request 2")


def test_reports_of_one_crash_count_once():
    tracker = CrashTracker()
    for delay in (0.0, 0.1, 0.4):
        crash(tracker, 1, BAD, at=1.0 + delay)
    assert not is_refused(tracker, BAD)
    for number in (2, 3):
        crash(tracker, number, BAD)
    assert is_refused(tracker, BAD)


def test_crashes_of_a_restarted_backend_server_count_each():
    tracker = CrashTracker()
    for number in range(CRASH_LIMIT):
        crash(tracker, 1, BAD, at=4.0 * number)
    assert is_refused(tracker, BAD, at=14.0)


def test_parts_in_one_crash_each_are_not_quarantined():
    tracker = CrashTracker()
    for number in range(20):
        crash(tracker, number, f"part {number}", f"request {number}")
    assert not any(is_refused(tracker, f"part {n}", at=20.0) for n in range(20))


def test_crash_that_a_part_explains_counts_against_no_other():
    tracker = CrashTracker()
    crash(tracker, 0, BAD, OTHER)
    crash(tracker, 1, BAD)
    crash(tracker, 2, BAD, OTHER)
    crash(tracker, 3, BAD, OTHER)
    crash(tracker, 4, BAD, OTHER)
    assert is_refused(tracker, BAD)
    assert not is_refused(tracker, OTHER)


def test_two_parts_that_crash_backend_servers_are_both_quarantined():
    tracker = CrashTracker()
    for number in range(2 * CRASH_LIMIT):
        crash(tracker, number, WORSE if number % 2 else BAD, f"part {number}")
    assert is_refused(tracker, BAD) and is_refused(tracker, WORSE)
    assert not is_refused(tracker, "part 0")


def test_sound_run_clears_earlier_crashes():
    tracker = CrashTracker()
    crash_repeatedly(tracker, BAD, count=CRASH_LIMIT - 1)
    tracker.record_sound([BAD], 5.0, 6.0)
    crash(tracker, 7, BAD)
    assert not is_refused(tracker, BAD)


def test_sound_run_that_began_before_the_crashes_clears_nothing():
    tracker = CrashTracker()
    tracker.record_sound([BAD], 0.0, 0.5)
    for number in range(1, 1 + CRASH_LIMIT_AFTER_SOUND_RUNS):
        crash(tracker, number, BAD)
    tracker.record_sound([BAD], 0.9, 9.0)
    assert is_refused(tracker, BAD)


def test_part_with_sound_runs_needs_more_crashes():
    tracker = CrashTracker()
    tracker.record_sound([SYSTEM], 0.0, 0.5)
    for number in range(1, CRASH_LIMIT_AFTER_SOUND_RUNS):
        crash(tracker, number, SYSTEM, f"part {number}")
        assert not is_refused(tracker, SYSTEM)
    crash(tracker, CRASH_LIMIT_AFTER_SOUND_RUNS, SYSTEM)
    assert is_refused(tracker, SYSTEM)


def test_part_with_sound_runs_is_not_blamed_for_crashes_of_new_ones():
    tracker = CrashTracker()
    tracker.record_sound([SYSTEM], 0.0, 0.5)
    for number in range(1, 12):
        crash(tracker, number, SYSTEM, BAD if number % 2 else WORSE)
    assert is_refused(tracker, BAD, at=12.0) and is_refused(tracker, WORSE, at=12.0)
    assert not is_refused(tracker, SYSTEM, at=12.0)


def test_one_request_at_a_time_tries_a_quarantined_part():
    tracker = CrashTracker()
    crash_repeatedly(tracker, BAD)
    due = CRASH_LIMIT - 1 + MIN_QUARANTINE_SECONDS
    assert is_refused(tracker, BAD, at=due - 0.1, may_try=True)
    assert is_refused(tracker, BAD, at=due, may_try=False)
    assert not is_refused(tracker, BAD, at=due, may_try=True)
    assert tracker.start_trials([BAD, OTHER], due) == (BAD,)
    assert is_refused(tracker, BAD, at=due + 0.1, may_try=True)
    assert not is_refused(tracker, BAD, at=due + TRIAL_SECONDS, may_try=True)


def test_failed_trial_doubles_the_quarantine():
    tracker = CrashTracker()
    crash_repeatedly(tracker, BAD)
    crash(tracker, 9, BAD, at=40.0)
    due = 40.0 + 2 * MIN_QUARANTINE_SECONDS
    assert is_refused(tracker, BAD, at=due - 0.1, may_try=True)
    assert not is_refused(tracker, BAD, at=due, may_try=True)


def test_sound_trial_ends_the_quarantine_everywhere():
    tracker, other = CrashTracker(), CrashTracker()
    crash_repeatedly(tracker, BAD)
    other.merge(tracker.make_snapshot(10.0), 10.0)
    assert is_refused(other, BAD)
    news = tracker.record_sound([BAD], 40.0, 40.0 + BEGINNING_SECONDS)
    other.merge(news, 40.0 + BEGINNING_SECONDS)
    for each in (tracker, other):
        assert not is_refused(each, BAD, at=42.0)
        assert each.drain_changes() == [
            (SuspicionChange.QUARANTINED, BAD, CRASH_LIMIT),
            (SuspicionChange.CLEARED, BAD, CRASH_LIMIT),
        ]


def test_quarantine_that_nobody_tests_expires():
    tracker = CrashTracker()
    crash_repeatedly(tracker, BAD)
    expired_at = CRASH_LIMIT + 2 * MIN_QUARANTINE_SECONDS
    tracker.expire(expired_at)
    assert not is_refused(tracker, BAD, at=expired_at)
    crash(tracker, 1, BAD, at=expired_at + 1.0)
    assert not is_refused(tracker, BAD, at=expired_at + 2.0)


def test_expired_quarantine_is_not_renewed_by_late_news():
    tracker, late = CrashTracker(), CrashTracker()
    crash_repeatedly(tracker, BAD)
    late.merge(tracker.make_snapshot(3.0), 3.0)
    expired_at = CRASH_LIMIT + 2 * MIN_QUARANTINE_SECONDS
    news = late.make_snapshot(expired_at - 0.2)
    tracker.expire(expired_at)
    tracker.drain_changes()
    for delay in (0.1, 0.6):
        tracker.merge(news, expired_at + delay)
    assert tracker.drain_changes() == []
    assert not is_refused(tracker, BAD, at=expired_at + 1.0)


def test_exchanged_evidence_does_not_prolong_a_quarantine():
    trackers, transit = (CrashTracker(), CrashTracker()), 0.02
    crash_repeatedly(trackers[0], BAD)
    expired_at, now = CRASH_LIMIT + 2 * MIN_QUARANTINE_SECONDS, float(CRASH_LIMIT)
    while now < expired_at:
        for tracker, other in (trackers, trackers[::-1]):
            other.merge(tracker.make_snapshot(now), now + transit)
            now += 0.1
    for tracker in trackers:
        tracker.expire(expired_at + 1.0)
        assert not is_refused(tracker, BAD, at=expired_at + 1.0)


def test_old_crashes_do_not_count():
    tracker = CrashTracker()
    crash_repeatedly(tracker, REQUEST, count=CRASH_LIMIT - 1)
    crash(tracker, 9, REQUEST, at=CRASH_LIMIT + EVIDENCE_SECONDS)
    assert not is_refused(tracker, REQUEST, at=CRASH_LIMIT + EVIDENCE_SECONDS)


def test_vm_that_knows_sound_runs_tells_of_them():
    tracker, other = CrashTracker(), CrashTracker()
    other.record_sound([OTHER], 0.5, 1.0)
    news = crash(tracker, 1, OTHER)
    answer = other.merge(news, 1.0)
    assert [suspect for suspect, _ in answer.sound] == [OTHER]
    assert other.merge(crash(tracker, 2, OTHER), 2.0) is None
    tracker.merge(answer, 1.1)
    crash(tracker, 3, OTHER)
    assert not is_refused(tracker, OTHER)


def test_all_vms_hold_the_same_beliefs_in_any_order():
    reports = [
        CrashTracker().record_crash(f"s{n}", 0, (BAD, f"part {n}"), float(n))
        for n in range(CRASH_LIMIT)
    ]
    for order in itertools.permutations(reports):
        tracker = CrashTracker()
        for number, news in enumerate(order):
            tracker.merge(news, 0.1 * number)
        assert not is_refused(tracker, "part 0") and is_refused(tracker, BAD)


def test_snapshot_of_restored_evidence_changes_nothing():
    tracker = CrashTracker()
    crash_repeatedly(tracker, BAD, OTHER)
    tracker.drain_changes()
    tracker.merge(tracker.make_snapshot(10.0), 10.0)
    assert tracker.drain_changes() == []


def test_memory_is_bounded():
    tracker = CrashTracker()
    for number in range(2 * MAX_CRASHES):
        crash(tracker, number, f"part {number}")
    assert len(tracker.make_snapshot(600.0).crashes) <= MAX_CRASHES
    for number in range(2 * MAX_SOUND_SUSPECTS):
        tracker.record_sound([f"part {number}", f"request {number}"], 0.0, 1.0)
    assert len(tracker._own_sound_at) <= MAX_SOUND_SUSPECTS


@given(
    st.lists(
        st.tuples(
            st.sampled_from(["crash", "sound", "exchange"]),
            st.integers(0, 3),
            st.sets(st.sampled_from([BAD, OTHER, SYSTEM, REQUEST]), min_size=1),
        ),
        max_size=30,
    )
)
def test_evidence_converges_on_all_vms(steps):
    trackers, now = [CrashTracker() for _ in range(2)], 0.0
    for number, (kind, which, suspects) in enumerate(steps):
        now += 1.5
        tracker, other = trackers[which % 2], trackers[1 - which % 2]
        if kind == "crash":
            tracker.record_crash(f"s{number}", 0, tuple(sorted(suspects)), now)
        elif kind == "sound":
            tracker.record_sound(suspects, now - 1.0, now)
        else:
            other.merge(tracker.make_snapshot(now), now)
    for _ in range(3):
        for tracker, other in (trackers, trackers[::-1]):
            for news in (other.merge(tracker.make_snapshot(now), now),):
                if news is not None:
                    tracker.merge(news, now)
    names = [BAD, OTHER, SYSTEM, REQUEST]
    refused = [[is_refused(it, name, at=now) for name in names] for it in trackers]
    assert refused[0] == refused[1]


def test_stored_crash_counts_once_whatever_the_clocks_of_the_vms():
    crash = CrashRecord("s1", 7, 1.0, (BAD,))
    stored = make_stored_news(CrashNews((crash,), (), ()), 2.0)
    behind, ahead = CrashTracker(), CrashTracker()
    behind.merge(stored, 100.0)
    # This VM's clock is 4 seconds ahead.
    ahead.merge(make_stored_news(CrashNews((crash,), (), ()), 6.0), 100.0)
    ahead.merge(behind.make_snapshot(100.0), 100.0)
    behind.merge(CrashNews((CrashRecord("s1", 7, 7.0, (BAD,)),), (), ()), 100.0)
    for tracker in (behind, ahead):
        assert len(tracker.make_snapshot(100.0).crashes) == 1
