"""Precedence of rumors, expiry of dead members, and backoff of join requests."""

import random

from hypothesis import given, settings, strategies as st

from fireflyquay.membership._join_candidates import JoinCandidates
from fireflyquay.membership._member_table import MemberTable
from fireflyquay.membership._membership_message import Rumor
from fireflyquay.membership._membership_settings import MembershipSettings
from fireflyquay.membership.tests.test_membership import build_listing, build_vm
from fireflyquay.world import MemberState

RUMOR_ARGUMENTS = st.lists(
    st.tuples(st.integers(0, 3), st.sampled_from(list(MemberState)), st.integers(1, 4)),
    max_size=20,
)


def make_rumor(number, state, generation, uptime=5, incarnation=None) -> Rumor:
    vm = build_vm(number, incarnation)
    location = (vm.zone, vm.region, vm.host, vm.http_port, vm.peer_port)
    return Rumor(vm.incarnation, *location, state, generation, uptime)


def list_states(table):
    incarnations = [build_vm(number).incarnation for number in range(4)]
    members = [table.get(incarnation) for incarnation in incarnations]
    return [m and (m.record.state, m.record.generation) for m in members]


@settings(derandomize=True, deadline=None)
@given(RUMOR_ARGUMENTS, st.randoms(use_true_random=False))
def test_order_and_repetition_of_rumors_do_not_change_the_table(rumors, rng):
    tables = [MemberTable(600.0, 100) for _ in range(2)]
    shuffled = rumors + rumors
    rng.shuffle(shuffled)
    for table, order in zip(tables, (rumors, shuffled), strict=True):
        for arguments in order:
            table.apply(1.0, make_rumor(*arguments))
    assert list_states(tables[0]) == list_states(tables[1])
    assert tables[0].bucket_hashes == tables[1].bucket_hashes
    live = [set(table.live_incarnations()) for table in tables]
    assert live[0] == live[1]


@settings(derandomize=True, deadline=None)
@given(RUMOR_ARGUMENTS)
def test_dead_member_is_revived_only_by_a_higher_generation(rumors):
    table = MemberTable(600.0, 100)
    death_generations: dict[int, int] = {}
    for number, state, generation in rumors:
        table.apply(1.0, make_rumor(number, state, generation))
        record = table.get(build_vm(number).incarnation).record
        if record.state is MemberState.DEAD:
            death_generations[number] = record.generation
        elif number in death_generations:
            assert record.generation > death_generations[number]


def test_later_incarnation_at_an_address_replaces_the_earlier_permanently():
    table = MemberTable(600.0, 100)
    table.apply(1.0, make_rumor(1, MemberState.ALIVE, 1, 100))
    assert table.apply(2.0, make_rumor(1, MemberState.ALIVE, 1, 3, "reborn01"))
    assert not table.apply(3.0, make_rumor(1, MemberState.ALIVE, 9, 102))
    assert table.live_incarnations() == ("reborn01",)
    assert table.get("node0001").is_end_confirmed


def test_rumor_about_an_earlier_incarnation_at_an_address_is_rejected():
    table = MemberTable(600.0, 100)
    table.apply(1.0, make_rumor(1, MemberState.ALIVE, 1, 3, "reborn01"))
    assert not table.apply(2.0, make_rumor(1, MemberState.ALIVE, 5, 100))
    assert table.live_incarnations() == ("reborn01",)


def test_dead_members_expire_by_age_and_count():
    table = MemberTable(600.0, 10)
    for number in range(30):
        table.apply(1.0, make_rumor(number, MemberState.DEAD, 1))
    table.expire(2.0)
    assert len(table.list_dead()) == 10
    table.expire(601.0)
    assert table.list_dead() == []


def test_join_requests_to_an_unresponsive_address_back_off():
    candidates = JoinCandidates(build_vm(0), MembershipSettings(), random.Random(1))
    table = MemberTable(600.0, 10)
    candidates.update([build_listing(build_vm(n)) for n in range(3)])
    counts = [len(candidates.select_addresses(float(now), table)) for now in range(100)]
    assert counts[0] == 2
    assert 10 < sum(counts) < 40
