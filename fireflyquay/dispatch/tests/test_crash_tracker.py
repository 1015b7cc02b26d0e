"""Crashes are counted alike whoever tells of them, and in bounded memory."""

import itertools

from fireflyquay.dispatch import CrashTracker
from fireflyquay.dispatch._crash_tracker import CRASH_LIMIT, MAX_FINGERPRINTS
from fireflyquay.world import Fingerprint


def test_a_request_is_barred_after_its_last_crash():
    crashes = CrashTracker()
    for count in range(1, CRASH_LIMIT + 1):
        assert not crashes.is_quarantined(Fingerprint("a"))
        assert crashes.record_crash(Fingerprint("a")) == count
    assert crashes.is_quarantined(Fingerprint("a"))
    assert not crashes.is_quarantined(Fingerprint("b"))


def test_counts_of_other_vms_merge_in_any_order():
    reports = [("a", 2), ("a", 3), ("b", 1), ("a", 1)]
    for order in itertools.permutations(reports):
        crashes = CrashTracker()
        for fingerprint, count in order:
            crashes.merge_count(Fingerprint(fingerprint), count)
        assert crashes.get_counts() == {"a": 3, "b": 1}


def test_the_newest_are_remembered():
    crashes = CrashTracker()
    crashes.merge_count(Fingerprint("old"), CRASH_LIMIT)
    crashes.merge_count(Fingerprint("kept"), CRASH_LIMIT)
    for number in range(MAX_FINGERPRINTS - 1):
        crashes.record_crash(Fingerprint(f"other-{number}"))
    assert len(crashes.get_counts()) == MAX_FINGERPRINTS
    assert crashes.is_quarantined(Fingerprint("kept"))
    assert not crashes.is_quarantined(Fingerprint("old"))
