"""Validation of request keys."""

from hypothesis import given, strategies as st

from fireflyquay.world import is_valid_request_key


def test_empty_long_and_unprintable_keys_are_invalid():
    assert is_valid_request_key("order-17")
    assert is_valid_request_key("x" * 200)
    for key in ("", "x" * 201, "a b", "a\n", "ä", "\x7f"):
        assert not is_valid_request_key(key)


@given(st.text(max_size=300))
def test_only_printable_ascii_of_1_to_200_characters_is_valid(text):
    is_expected_valid = 0 < len(text) <= 200 and all(
        "!" <= char <= "~" for char in text
    )
    assert is_valid_request_key(text) is is_expected_valid
