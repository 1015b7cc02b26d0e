"""Tests of bursts by kind, and of lost servers and VMs, on uneven engines."""

import pytest

from fireflyquay.world import ClientAccountId

from .bursts import BurstReplay, measure_by_kind

SEEDS = [1, 2, 3]
BURST_START = 3.0
# Usual load in multiples of the rates of the kinds; 1.4 occupies most slots.
USUAL_LOAD, HIGH_LOAD = 1.2, 1.4
BIG_ACCOUNT = ClientAccountId("big")


def replay_burst(seed, seconds, load, usual_load=USUAL_LOAD):
    replay = BurstReplay(seed=seed)
    replay.add_traffic(0.0, BURST_START, usual_load)
    replay.add_traffic(BURST_START, seconds, usual_load * load)
    replay.add_traffic(BURST_START + seconds, 4.0, usual_load)
    requests = replay.run(BURST_START + seconds + 14.0)
    return measure_by_kind(requests, BURST_START, BURST_START + seconds)


@pytest.mark.parametrize("seed", SEEDS)
def test_clients_that_come_back_when_told_are_seldom_refused_again(seed):
    """Guards against second refusals, which are final for the caller."""
    figures = replay_burst(seed, 2.5, 2.2)
    assert figures["queries"].refused > 0.2
    assert figures["queries"].refused_twice <= 0.1
    assert figures["summaries"].refused_twice <= 0.01


@pytest.mark.parametrize("seed", SEEDS)
def test_waiting_retries_displace_no_request_of_a_higher_rank(seed):
    """Guards against retries of lower ranks that occupy the slots of the top one."""
    figures = replay_burst(seed, 2.5, 2.2)
    assert figures["drafts"].on_time >= 0.98
    assert figures["drafts"].refused == 0.0


@pytest.mark.parametrize("seed", SEEDS)
def test_account_beyond_its_share_refuses_no_request_of_the_top_rank(seed):
    replay = BurstReplay(seed=seed)
    replay.add_traffic(0.0, 10.0, 0.9 * USUAL_LOAD)
    replay.add_traffic(0.0, 10.0, 0.1 * USUAL_LOAD, account=BIG_ACCOUNT)
    replay.add_traffic(BURST_START, 4.0, 0.5 * USUAL_LOAD, account=BIG_ACCOUNT)
    requests = replay.run(20.0)
    others = [it for it in requests if it.account != BIG_ACCOUNT]
    figures = measure_by_kind(others, BURST_START, BURST_START + 4.0)
    assert figures["drafts"].on_time >= 0.98
    assert all(it.refused_twice <= 0.02 for it in figures.values()), figures


@pytest.mark.parametrize("seed", SEEDS)
def test_loss_of_a_quarter_of_the_engines_refuses_nobody_twice(seed):
    replay = BurstReplay(seed=seed)
    replay.add_traffic(0.0, 10.0, HIGH_LOAD)
    names = list(replay.engines)
    left = names[len(names) // 4 :]
    replay.schedule(BURST_START, lambda _: replay.register_engines(left))
    replay.schedule(BURST_START + 2.0, lambda _: replay.register_engines())
    figures = measure_by_kind(replay.run(20.0), BURST_START, BURST_START + 4.0)
    assert figures["drafts"].on_time >= 0.98
    assert all(it.refused_twice == 0.0 for it in figures.values()), figures


@pytest.mark.parametrize("seed", SEEDS)
def test_backlog_of_a_start_makes_few_fresh_requests_of_the_top_rank_late(seed):
    replay = BurstReplay(seed=seed)
    replay.add_traffic(0.0, 8.0, USUAL_LOAD)
    replay.lose_power(BURST_START, 1.0)
    requests = replay.run(18.0)
    back_at = BURST_START + 1.0
    figures = measure_by_kind(requests, back_at, back_at + 1.0)
    assert figures["drafts"].on_time >= 0.9
    figures = measure_by_kind(requests, BURST_START, back_at + 1.0)
    assert figures["queries"].refused_twice <= 0.02


@pytest.mark.parametrize("seed", SEEDS)
def test_few_grants_are_rejected_while_engines_hold_runs_of_former_vms(seed):
    """Guards against grants of slots that aren't free."""
    replay = BurstReplay(seed=seed)
    replay.add_traffic(0.0, 7.0, 2.0)
    replay.lose_power(BURST_START, 0.3)
    requests = replay.run(12.0)
    assert sum(it.rejections for it in replay.engines.values()) <= 100
    figures = measure_by_kind(requests, BURST_START, BURST_START + 2.0)
    assert figures["drafts"].on_time >= 0.9
