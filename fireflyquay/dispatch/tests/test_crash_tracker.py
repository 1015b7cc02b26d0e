"""Tests of crash counts by request fingerprint."""

import itertools

from fireflyquay.dispatch import CrashTracker
from fireflyquay.dispatch._crash_tracker import CRASH_LIMIT, MAX_FINGERPRINTS
from fireflyquay.world import Fingerprint


def test_request_is_quarantined_at_crash_limit():
    crashes = CrashTracker()
    for count in range(1, CRASH_LIMIT + 1):
        assert not crashes.is_quarantined(Fingerprint("a"))
        assert crashes.record_crash(Fingerprint("a")) == count
    assert crashes.is_quarantined(Fingerprint("a"))
    assert not crashes.is_quarantined(Fingerprint("b"))


def test_merged_counts_do_not_depend_on_order():
    reports = [("a", 2), ("a", 3), ("b", 1), ("a", 1)]
    for order in itertools.permutations(reports):
        crashes = CrashTracker()
        for fingerprint, count in order:
            crashes.merge_count(Fingerprint(fingerprint), count)
        assert crashes.get_counts() == {"a": 3, "b": 1}


def test_tracker_keeps_newest_fingerprints():
    crashes = CrashTracker()
    crashes.merge_count(Fingerprint("old"), CRASH_LIMIT)
    crashes.merge_count(Fingerprint("kept"), CRASH_LIMIT)
    for number in range(MAX_FINGERPRINTS - 1):
        crashes.record_crash(Fingerprint(f"other-{number}"))
    assert len(crashes.get_counts()) == MAX_FINGERPRINTS
    assert crashes.is_quarantined(Fingerprint("kept"))
    assert not crashes.is_quarantined(Fingerprint("old"))
