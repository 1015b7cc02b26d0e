"""Messages are read by the build in production and by this one, side by side."""

import json
from pathlib import Path

import pytest
from message_schema import record_schema

from fireflyquay.world import Code

PRODUCTION = json.loads(
    Path(__file__).with_name("production_messages.json").read_text()
)
# Codes that only clients and logs get: a VM of the build in production that got one
# from another VM could not read the message.
LOCAL_CODES = {Code.STOPPING.value, Code.EXCEEDS_MEMORY.value}


@pytest.mark.parametrize("name", sorted(PRODUCTION))
def test_type_is_read_by_the_build_before_and_after(name):
    old, new = PRODUCTION[name], record_schema()[name]
    if "values" in old:
        added = set(new["values"]) - set(old["values"])
        assert not set(old["values"]) - set(new["values"])
        assert added <= (LOCAL_CODES if name == Code.__name__ else set())
        return
    assert (new["is_array"], new["tag"]) == (old["is_array"], old["tag"])
    if old["is_array"]:
        kept = new["fields"][: len(old["fields"])]
        added_fields = new["fields"][len(old["fields"]) :]
    else:
        names = [field["name"] for field in old["fields"]]
        kept = [it for it in new["fields"] if it["name"] in names]
        kept.sort(key=lambda field: names.index(field["name"]))
        added_fields = [it for it in new["fields"] if it["name"] not in names]
    assert kept == old["fields"]
    assert not [it["name"] for it in added_fields if it["required"]]


def test_new_type_has_a_tag_of_its_own():
    tags = [it["tag"] for it in record_schema().values() if it.get("tag")]
    assert len(tags) == len(set(tags))
