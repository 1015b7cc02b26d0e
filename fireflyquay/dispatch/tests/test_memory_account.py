"""Tests of the account of what connections hold."""

import random

import pytest

from fireflyquay.dispatch import CONNECTION_BYTES, MemoryAccount, MemoryUse

MB = 1_000_000
MAX_BYTES = 10 * MB


def open_holder(account, held_bytes, now=0.0, **use):
    holder = account.open(now)
    account.record(holder, MemoryUse(held_bytes, **use), now)
    return holder


def test_account_sums_what_connections_hold():
    # Guards against memory that stays counted after its connection has ended.
    rng, account, holders = random.Random(7), MemoryAccount(MAX_BYTES), []
    for step in range(2000):
        now = float(step)
        if holders and rng.random() < 0.4:
            account.close(holders.pop(rng.randrange(len(holders))))
        elif holders and rng.random() < 0.5:
            use = MemoryUse(rng.randrange(MB))
            account.record(rng.choice(holders), use, now)
        else:
            holders.append(account.open(now))
        assert account.held_bytes == sum(it.use.held_bytes for it in holders)
    for holder in holders:
        account.close(holder)
        account.close(holder)
    assert (account.held_bytes, account.holder_count) == (0, 0)


def test_nobody_gives_way_while_there_is_room():
    account = MemoryAccount(MAX_BYTES)
    open_holder(account, 7 * MB)
    assert account.choose_yielding(60.0) == []


def test_those_that_hold_most_give_way_until_there_is_room():
    # Replays a crowd with unread responses beside many idle connections.
    account = MemoryAccount(MAX_BYTES)
    idle = [account.open(0.0) for _ in range(20)]
    crowd = [open_holder(account, (n + 1) * MB, unsent_bytes=MB) for n in range(4)]
    chosen = account.choose_yielding(5.0)
    assert chosen == [crowd[3], crowd[2]][: len(chosen)]
    assert chosen
    assert not set(chosen) & set(idle)
    for holder in chosen:
        account.close(holder)
    assert not account.is_short
    assert account.choose_yielding(5.0) == []


@pytest.mark.parametrize(
    "use",
    [
        MemoryUse(5 * MB, unsent_bytes=MB, is_running=True),
        # Reads slowly.
        MemoryUse(5 * MB, unsent_bytes=MB - 1),
        # Sends a body slowly.
        MemoryUse(5 * MB, received_bytes=256, unsent_bytes=MB),
    ],
    ids=["runs", "reads", "sends"],
)
def test_connection_that_makes_progress_or_runs_never_gives_way(use):
    # Guards against a response cut, or a client that reads refused, as others don't.
    account = MemoryAccount(MAX_BYTES)
    sound = open_holder(account, 5 * MB, unsent_bytes=MB)
    stalled = open_holder(account, 4 * MB, unsent_bytes=MB)
    account.record(sound, use, 4.0)
    account.record(stalled, MemoryUse(4 * MB, unsent_bytes=MB), 4.0)
    assert account.choose_yielding(5.0) == [stalled]


def test_few_bytes_now_and_then_are_no_progress():
    # Guards against a crowd that keeps its bodies by a byte a second.
    account = MemoryAccount(MAX_BYTES)
    slow = open_holder(account, 9 * MB, received_bytes=9 * MB)
    for second in range(1, 6):
        use = MemoryUse(9 * MB + second, received_bytes=9 * MB + second)
        account.record(slow, use, float(second))
    assert account.choose_yielding(5.0) == [slow]


def test_client_whose_response_ended_just_now_does_not_give_way():
    account = MemoryAccount(MAX_BYTES)
    holder = open_holder(account, 9 * MB, is_running=True)
    account.record(holder, MemoryUse(9 * MB, unsent_bytes=MB), 30.0)
    assert account.choose_yielding(31.0) == []
    assert account.choose_yielding(33.0) == [holder]


def test_shortage_ends_only_once_there_is_room_again():
    # Guards against a VM that is listed and left out by turns.
    account = MemoryAccount(MAX_BYTES)
    holder = open_holder(account, 8 * MB)
    assert account.is_short
    account.record(holder, MemoryUse(7 * MB), 1.0)
    assert account.is_short
    account.record(holder, MemoryUse(5 * MB), 2.0)
    assert not account.is_short
    account.record(holder, MemoryUse(7 * MB), 3.0)
    assert not account.is_short


def test_new_connection_counts_before_it_has_sent_anything():
    account = MemoryAccount(2.5 * CONNECTION_BYTES)
    account.open(0.0)
    assert account.has_room(CONNECTION_BYTES)
    account.open(0.0)
    assert not account.has_room(CONNECTION_BYTES)
