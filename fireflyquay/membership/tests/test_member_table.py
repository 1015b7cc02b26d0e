"""Order of news about members, whatever the order of arrival."""

import random

from hypothesis import given, settings, strategies as st

from fireflyquay.membership._join_candidates import JoinCandidates
from fireflyquay.membership._member_table import MemberTable
from fireflyquay.membership._membership_message import Rumor
from fireflyquay.membership._membership_settings import MembershipSettings
from fireflyquay.membership.tests.test_membership import build_vm, list_vm
from fireflyquay.world import MemberState

NEWS = st.lists(
    st.tuples(st.integers(0, 3), st.sampled_from(list(MemberState)), st.integers(1, 4)),
    max_size=20,
)


def build_rumor(number, state, generation, uptime=5, name=None) -> Rumor:
    vm = build_vm(number, name)
    place = (vm.zone, vm.region, vm.host, vm.http_port, vm.peer_port)
    return Rumor(vm.incarnation, *place, state, generation, uptime)


def summarize(table):
    names = [build_vm(number).incarnation for number in range(4)]
    members = [table.get(name) for name in names]
    return [m and (m.record.state, m.record.generation) for m in members]


@settings(derandomize=True, deadline=None)
@given(NEWS, st.randoms(use_true_random=False))
def test_tables_agree_whatever_the_order_and_repeats(news, rng):
    tables = [MemberTable(600.0, 100) for _ in range(2)]
    shuffled = news + news
    rng.shuffle(shuffled)
    for table, order in zip(tables, (news, shuffled), strict=True):
        for item in order:
            table.apply(1.0, build_rumor(*item))
    assert summarize(tables[0]) == summarize(tables[1])
    assert tables[0].bucket_hashes == tables[1].bucket_hashes
    live = [set(table.live_incarnations()) for table in tables]
    assert live[0] == live[1]


@settings(derandomize=True, deadline=None)
@given(NEWS)
def test_dead_member_returns_only_with_a_higher_generation(news):
    table = MemberTable(600.0, 100)
    died: dict[int, int] = {}
    for number, state, generation in news:
        table.apply(1.0, build_rumor(number, state, generation))
        record = table.get(build_vm(number).incarnation).record
        if record.state is MemberState.DEAD:
            died[number] = record.generation
        elif number in died:
            assert record.generation > died[number]


def test_later_start_wins_an_address_and_the_older_never_returns():
    table = MemberTable(600.0, 100)
    table.apply(1.0, build_rumor(1, MemberState.ALIVE, 1, 100))
    assert table.apply(2.0, build_rumor(1, MemberState.ALIVE, 1, 3, "reborn01"))
    assert not table.apply(3.0, build_rumor(1, MemberState.ALIVE, 9, 102))
    assert table.live_incarnations() == ("reborn01",)
    assert table.get("node0001").is_end_confirmed


def test_older_start_heard_later_is_not_taken():
    table = MemberTable(600.0, 100)
    table.apply(1.0, build_rumor(1, MemberState.ALIVE, 1, 3, "reborn01"))
    assert not table.apply(2.0, build_rumor(1, MemberState.ALIVE, 5, 100))
    assert table.live_incarnations() == ("reborn01",)


def test_dead_members_are_bounded_by_age_and_number():
    table = MemberTable(600.0, 10)
    for number in range(30):
        table.apply(1.0, build_rumor(number, MemberState.DEAD, 1))
    table.expire(2.0)
    assert len(table.list_dead()) == 10
    table.expire(601.0)
    assert table.list_dead() == []


def test_silent_addresses_are_tried_ever_more_rarely():
    platform = JoinCandidates(build_vm(0), MembershipSettings(), random.Random(1))
    table = MemberTable(600.0, 10)
    platform.update([list_vm(build_vm(n)) for n in range(3)])
    tries = [len(platform.choose_addresses(float(now), table)) for now in range(100)]
    assert tries[0] == 2
    assert 10 < sum(tries) < 40
