"""Crashes are counted alike whoever tells of them, and in bounded memory."""

import itertools

from fireflyquay.dispatch import CrashList
from fireflyquay.dispatch._crash_list import CRASH_LIMIT, MAX_FINGERPRINTS
from fireflyquay.world import Fingerprint


def test_a_request_is_barred_after_its_last_crash():
    crashes = CrashList()
    for count in range(1, CRASH_LIMIT + 1):
        assert not crashes.is_barred(Fingerprint("a"))
        assert crashes.note_crash(Fingerprint("a")) == count
    assert crashes.is_barred(Fingerprint("a"))
    assert not crashes.is_barred(Fingerprint("b"))


def test_counts_of_other_vms_merge_in_any_order():
    reports = [("a", 2), ("a", 3), ("b", 1), ("a", 1)]
    for order in itertools.permutations(reports):
        crashes = CrashList()
        for fingerprint, count in order:
            crashes.raise_to(Fingerprint(fingerprint), count)
        assert crashes.list_counts() == {"a": 3, "b": 1}


def test_the_newest_are_remembered():
    crashes = CrashList()
    crashes.raise_to(Fingerprint("old"), CRASH_LIMIT)
    crashes.raise_to(Fingerprint("kept"), CRASH_LIMIT)
    for number in range(MAX_FINGERPRINTS - 1):
        crashes.note_crash(Fingerprint(f"other-{number}"))
    assert len(crashes.list_counts()) == MAX_FINGERPRINTS
    assert crashes.is_barred(Fingerprint("kept"))
    assert not crashes.is_barred(Fingerprint("old"))
