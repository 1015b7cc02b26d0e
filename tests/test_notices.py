"""A change that an operator hands over needs no store to spread."""

from dataclasses import replace

from node_fleet import CUSTOMER, NodeFleet

from fireflyquay.contracts import (
    CONTRACT_CODEC,
    StoredValue,
)

PATH = f"contracts/{CUSTOMER}"


def store_version(fleet, version):
    record = CONTRACT_CODEC.decode(fleet.values[PATH].value)
    value = CONTRACT_CODEC.encode(replace(record, version=version))
    return StoredValue(PATH, value, version, 10 + version)


def list_versions(fleet):
    return {n.describe(fleet.now).contracts[CUSTOMER] for n in fleet.nodes.values()}


def test_change_published_on_one_node_is_in_force_on_all_within_three_seconds():
    fleet = NodeFleet(count=9)
    fleet.run(6.0)
    assert list_versions(fleet) == {1}
    # The store of this fleet never tells of the new version.
    fleet.nodes["node4"].publish(fleet.now, store_version(fleet, 2))
    fleet.run(3.0)
    assert list_versions(fleet) == {2}


def test_older_value_never_reverts_a_newer_one():
    fleet = NodeFleet()
    fleet.run(4.0)
    fleet.nodes["node0"].publish(fleet.now, store_version(fleet, 3))
    fleet.nodes["node1"].publish(fleet.now, store_version(fleet, 2))
    fleet.run(3.0)
    assert list_versions(fleet) == {3}
