from pathlib import Path

import pytest
from hypothesis import given, settings, strategies as st

from fireflyquay.interface import check_settings, load_settings
from fireflyquay.world import Code, FireflyquayError

EXAMPLE = Path(__file__).parents[3] / "docs" / "examples" / "node.toml"
TEXT = EXAMPLE.read_text()
LINES = TEXT.splitlines()


def test_only_marked_example_kinds_are_idempotent():
    kinds = load_settings(EXAMPLE).kinds
    assert len(kinds) == 10
    idempotent = {kind.name for kind in kinds if kind.idempotent}
    assert idempotent == {"question", "status-lookup", "label", "quote-summary"}


def test_all_faults_are_reported_at_once():
    text = TEXT.replace("http_port = 8080", 'http_port = "x"')
    text = text.replace("peer_port = 8081", "peer_port = 70000")
    text = text.replace("lines_per_second = 200", "lines_per_second = 0\nextra = 1")
    text = text.replace("timeout = 2.0", "timeout = nan", 1)
    faults = {fault.path: fault for fault in check_settings(text)}
    assert faults.keys() == {
        "node.http_port",
        "node.peer_port",
        "log.lines_per_second",
        "log.extra",
        "platform.timeout",
    }
    assert faults["node.peer_port"].value == "70000"
    assert faults["node.peer_port"].allowed == "an integer, at least 1, at most 65535"


def test_duplicate_kinds_missing_sections_and_equal_ports_are_faults():
    duplicate = check_settings(TEXT.replace('"report"', '"label"'))
    assert [fault.path for fault in duplicate] == ["kinds[3].name"]
    assert {fault.path for fault in check_settings("")} == {"node", "platform", "kinds"}
    same_port = check_settings(TEXT.replace("8081", "8080"))
    assert [fault.path for fault in same_port] == ["node.peer_port"]


def test_gateway_settings_are_derived_from_entry_settings():
    settings = load_settings(EXAMPLE).make_gateway_settings()
    assert settings.vm.client_address == "127.0.0.1:8080"
    assert settings.vm.peer_address == "127.0.0.1:8081"
    assert settings.store.address == "127.0.0.1:9000"
    # A stop must not interrupt the kind of work with the longest deadline.
    assert settings.promises.stop_grace > 120.0


def test_secrets_are_redacted_in_faults():
    faults = check_settings(TEXT.replace('"change-me"', '"not printable \\u00e9"'))
    assert [fault.value for fault in faults] == ["(hidden)"]


def test_loading_an_unreadable_file_raises_bad_settings(tmp_path):
    bad = tmp_path / "bad.toml"
    bad.write_bytes(b"\xff\xfe")
    for path in (bad, tmp_path / "none.toml"):
        with pytest.raises(FireflyquayError) as caught:
            load_settings(path)
        assert caught.value.code is Code.BAD_SETTINGS


VALUES = st.sampled_from(
    ["1", "-1", "true", "nan", "inf", "1e400", "9" * 400, "9" * 5000, "[]", "{}"]
    + ['""', "[[1]]", "1979-05-27", "{a=1}", "'\\u0000'", "[" * 2000 + "]" * 2000]
)


@settings(derandomize=True, deadline=None, max_examples=300)
@given(st.integers(0, len(LINES) - 1), VALUES)
def test_arbitrary_values_are_reported_without_other_exceptions(line, value):
    lines = list(LINES)
    name = lines[line].partition("=")[0]
    lines[line] = f"{name or 'extra'} = {value}"
    for fault in check_settings("\n".join(lines)):
        assert fault.sentence


@settings(derandomize=True, deadline=None)
@given(st.text(max_size=200))
def test_arbitrary_text_is_reported_as_faults(text):
    assert check_settings(text)
