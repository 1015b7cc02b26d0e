"""The settings that the platform renders from the template can be loaded."""

import json
import re
import tomllib
from pathlib import Path

import pytest

from fireflyquay.checks import parse_document
from fireflyquay.gateway import GatewaySettings, RolloutSettings

TEMPLATE = Path(__file__).parent.parent / "deploy" / "settings.toml"
VALUES = {
    "nodeName": "vm-1",
    "zone": "a",
    "region": "north",
    "ip": "10.0.0.1",
    "listen": {
        "frontend": "10.0.0.1:80",
        "ready": "10.0.0.1:81",
        "directory": "10.0.0.1:82",
    },
    "portRange": [7600, 7699],
    "limits": {"cpuShare": 0.5, "cores": 1.2, "linkMbps": 12, "memoryMb": 200},
    "seeds": ["10.0.0.2:7600", "10.0.0.3:7600"],
    "platform": {"address": "10.0.0.9:90"},
}
BOUNDS = {
    "revokeMs": 5000,
    "graceS": 8,
    "retryBudgetRatio": 0.2,
    "retrySlack": 182,
    "retryWindowS": 10,
    "quotaOvershoot": 0.1,
    "quotaSlack": 140000,
    "quotaWindowS": 8,
    "ttl_max_s": 5,
}
ROLLOUT_BOUNDS = {"exposureShare": 0.1, "exposureSlack": 50, "rollbackMs": 5000}
# A section that is rendered once for a value, and for each item of a list.
SECTION = re.compile(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", re.DOTALL)
VALUE = re.compile(r"\{\{([\w.]+)(\|json)?\}\}")
SEPARATOR = "{{,}}"


def find_value(name, *scopes):
    """Return the value of the first scope that has the name; None without any."""
    if name == ".":
        return scopes[0]
    for scope in scopes:
        value = scope
        for part in name.split("."):
            if isinstance(value, dict):
                value = value.get(part)
            elif isinstance(value, list) and part.isdigit():
                value = value[int(part)]
            else:
                value = None
        if value is not None:
            return value
    return None


def render(template, *scopes):
    def render_section(match):
        value, body = find_value(match[1], *scopes), match[2]
        if value is None:
            return ""
        entries = value if isinstance(value, list) else [value]
        last = len(entries) - 1
        return "".join(
            render(body.replace(SEPARATOR, "" if i == last else ","), entry, *scopes)
            for i, entry in enumerate(entries)
        )

    def render_value(match):
        value = find_value(match[1], *scopes)
        assert value is not None, f"the template needs {match[1]}"
        return json.dumps(value) if match[2] else str(value)

    return VALUE.sub(render_value, SECTION.sub(render_section, template))


def load(bounds):
    text = render(TEMPLATE.read_text(), {**VALUES, "bounds": bounds})
    settings, faults = parse_document(text, GatewaySettings)
    assert not faults
    return settings, tomllib.loads(text)


def test_section_of_rollouts_is_rendered_with_the_stated_bounds():
    settings, _ = load({**BOUNDS, **ROLLOUT_BOUNDS})
    assert settings.rollout == RolloutSettings(0.1, 50, 5.0)
    assert settings.vm.seeds == ("10.0.0.2:7600", "10.0.0.3:7600")


def test_section_of_rollouts_is_absent_without_the_bounds():
    settings, document = load(BOUNDS)
    assert settings.rollout is None
    assert "rollout" not in document


@pytest.mark.parametrize("name", ROLLOUT_BOUNDS)
def test_settings_load_if_only_some_bounds_are_stated(name):
    # A setting in the wrong section would keep every gateway from starting.
    some = {key: value for key, value in ROLLOUT_BOUNDS.items() if key != name}
    settings, _ = load({**BOUNDS, **some})
    assert (settings.rollout is None) == (name == "exposureShare")


def test_faults_in_the_section_of_rollouts_are_reported_with_their_path():
    text = render(TEMPLATE.read_text(), {**VALUES, "bounds": BOUNDS})
    text += "[rollout]\nexposure_share = 2\nrollbak = 1\n"
    faults = parse_document(text, GatewaySettings)[1]
    assert [it.path for it in faults] == ["rollout.exposure_share", "rollout.rollbak"]
