"""Tests of the shares of limits that parts of a fleet grant."""

from hypothesis import given, strategies as st

from fireflyquay.gateway._fleet import compute_limit_share


@given(st.lists(st.integers(1, 40), min_size=1, max_size=12))
def test_parts_that_lost_each_other_never_grant_more_than_the_whole(sizes):
    shares = [compute_limit_share(size / sum(sizes)) for size in sizes]
    assert sum(shares) <= 1.0 + 1e-9
    assert all(share > 0 for share in shares)
    assert len(sizes) > 1 or shares == [1.0]
