"""Tests of replicated state: versions, freshness and synchronization."""

from dataclasses import replace

import pytest

from fireflyquay.dispatch import BackendRegistry, ConfigReplica, Freshness, ReplicaSync
from fireflyquay.dispatch._backend_registry import REREGISTRATION_SECONDS
from fireflyquay.dispatch._control_message import (
    ConfigRequest,
    ConfigResponse,
    Probe,
    ProbeResponse,
)
from fireflyquay.world import BackendPhase, Incarnation

from .builders import (
    OTHER_VM,
    OWN_VM,
    make_account,
    make_backend_entry,
    make_config,
    make_route,
    make_vm,
)


def test_config_replica_ignores_older_version():
    replica = ConfigReplica()
    replica.apply_config(make_config(7), Freshness(10, 1.0))
    assert not replica.apply_config(make_config(5), Freshness(11, 9.0))
    assert replica.version == 7
    assert replica.compute_age(9.0) == 8.0


def test_find_route_prefers_longest_prefix_of_host():
    replica = ConfigReplica()
    routes = (make_route("/a/"), make_route("/a/b/"), make_route("/", host="other"))
    replica.apply_config(make_config(1, routes), Freshness(1, 0.0))
    assert replica.find_route("office.example", "/a/b/c").path_prefix == "/a/b/"
    assert replica.find_route("OFFICE.example", "/a/x").path_prefix == "/a/"
    assert replica.find_route("office.example", "/z") is None


def test_removed_api_key_finds_no_account():
    replica = ConfigReplica()
    before = (make_account(keys=("key-1", "key-2")),)
    replica.apply_config(make_config(1, accounts=before), Freshness(1, 0.0))
    assert replica.find_account_by_api_key("key-2") is not None
    after = (make_account(keys=("key-1",)),)
    replica.apply_config(make_config(2, accounts=after), Freshness(2, 1.0))
    assert replica.find_account_by_api_key("key-2") is None


def test_request_without_a_key_finds_no_account():
    replica = ConfigReplica()
    accounts = (make_account(keys=("", "key-1")),)
    replica.apply_config(make_config(1, accounts=accounts), Freshness(1, 0.0))
    assert replica.find_account_by_api_key("") is None


# Guards against review/9 (CONFIG): an empty list does not tell whether keys are needed.
@pytest.mark.parametrize("accounts", [(), (make_account(),)])
def test_copy_of_a_build_that_states_no_key_rule_opens_no_route(accounts):
    sync = make_replica_sync(4, 1.0)
    config = replace(make_config(7, accounts=accounts), requires_keys=None)
    [request] = ask_for_config(sync)
    response = ConfigResponse(request.number, config, 7, 0.1)
    assert sync.handle_message(OTHER_VM, response, 2.1)[1] is bool(accounts)
    assert sync.config.version == (7 if accounts else 4)
    assert sync.config.compute_age(2.1) == pytest.approx(0.2 if accounts else 1.1)
    assert sync.config.requires_keys is bool(accounts)


def test_configuration_that_was_never_read_requires_keys():
    assert ConfigReplica().requires_keys


def ask_for_config(sync):
    probe = Probe(1, True, make_vm(OTHER_VM), False, 7, 0.2)
    replies, _ = sync.handle_message(OTHER_VM, probe, 2.0)
    return [it for it in replies if isinstance(it, ConfigRequest)]


def test_missing_backend_is_removed_at_once_without_outage():
    registry = BackendRegistry()
    registry.replace_all(
        [make_backend_entry("s1"), make_backend_entry("s2")], Freshness(1, 0.0)
    )
    assert registry.replace_all([make_backend_entry("s1")], Freshness(2, 1.0)) == [
        "s2 gone"
    ]
    assert not registry.accepts_requests("s2")


def test_backend_missing_after_outage_stays_until_reregistration_time():
    registry = BackendRegistry()
    registry.replace_all(
        [make_backend_entry("s1"), make_backend_entry("s2")], Freshness(1, 0.0)
    )
    registry.detect_outage(20.0, 20.0)
    registry.replace_all([make_backend_entry("s1")], Freshness(2, 20.0))
    assert registry.accepts_requests("s2")
    reregistered_by = 20.0 + REREGISTRATION_SECONDS
    registry.replace_all([make_backend_entry("s1")], Freshness(3, reregistered_by))
    assert registry.get("s2") is None


def test_copies_of_the_registry_without_an_outage_retain_no_backend():
    registry = BackendRegistry()
    entries = [make_backend_entry("s1"), make_backend_entry("s2")]
    registry.replace_all(entries, Freshness(1, 10.0))
    # The copy was requested after it was last confirmed.
    registry.expect_missing(10.4, 0.0)
    registry.expect_missing(10.4, float("nan"))
    registry.replace_all(entries[:1], Freshness(2, 10.2))
    assert [it.id for it in registry.list_backends()] == ["s1"]


def test_copy_of_the_registry_states_how_long_entries_may_be_missing():
    responder, receiver = make_replica_sync(4), make_replica_sync(4)
    entries = [make_backend_entry("s1"), make_backend_entry("s2")]
    responder.backends.replace_all(entries, Freshness(5, 1.0))
    responder.backends.detect_outage(20.0, 20.0)
    responder.backends.replace_all(entries, Freshness(6, 20.0))
    receiver.backends.replace_all([], Freshness(5, 18.0))
    assert exchange_messages(receiver, responder, 20.5, 20.5, 20.5)
    receiver.backends.replace_all([make_backend_entry("s1")], Freshness(7, 21.9))
    assert receiver.backends.accepts_requests("s2")
    receiver.backends.replace_all([make_backend_entry("s1")], Freshness(8, 22.0))
    assert receiver.backends.get("s2") is None


def test_confirmation_by_another_vm_does_not_hide_an_outage():
    receiver, responder = make_replica_sync(4, 1.0), make_replica_sync(4, 20.0)
    exchange_messages(receiver, responder, 20.0, 20.0, 20.1)
    receiver.backends.replace_all([], Freshness(5, 20.2))
    assert receiver.backends.accepts_requests("s1")
    receiver.backends.replace_all([], Freshness(6, 22.2))
    assert receiver.backends.get("s1") is None


def test_new_process_of_a_registered_backend_is_a_change():
    registry = BackendRegistry()
    registry.replace_all([make_backend_entry("e1", born_ms=1)], Freshness(1, 0.0))
    entries = [make_backend_entry("e1", born_ms=2)]
    assert registry.replace_all(entries, Freshness(2, 1.0)) == ["e1 restarted"]
    assert registry.replace_all(entries, Freshness(3, 2.0)) == []


def test_new_number_of_slots_is_a_change():
    registry = BackendRegistry()
    registry.replace_all([make_backend_entry("e1", slots=2)], Freshness(1, 0.0))
    entries = [make_backend_entry("e1", slots=3)]
    assert registry.replace_all(entries, Freshness(2, 1.0)) == ["e1 changed"]


def test_leaving_backend_accepts_no_requests():
    registry = BackendRegistry()
    registry.replace_all([make_backend_entry("s1")], Freshness(1, 0.0))
    leaving = make_backend_entry("s1", phase=BackendPhase.LEAVING)
    assert registry.replace_all([leaving], Freshness(2, 1.0)) == ["s1 LEAVING"]
    assert not registry.accepts_requests("s1")


def test_registry_ignores_older_revision():
    registry = BackendRegistry()
    registry.replace_all([make_backend_entry("s1")], Freshness(5, 1.0))
    assert registry.replace_all([], Freshness(4, 2.0)) == []
    assert registry.accepts_requests("s1")


def make_replica_sync(version: int = 0, confirmed_at: float = 0.0) -> ReplicaSync:
    config, backends = ConfigReplica(), BackendRegistry()
    if version:
        config.apply_config(make_config(version), Freshness(version, confirmed_at))
        backends.replace_all(
            [make_backend_entry("s1")], Freshness(version, confirmed_at)
        )
    sync = ReplicaSync(make_vm(OWN_VM), config, backends)
    # For assertions.
    sync.config, sync.backends = config, backends
    return sync


def exchange_messages(
    receiver, responder, sent_at: float, received_at: float, returned_at: float
):
    """Synchronize one VM from another; return whether its state changed."""
    has_changed = False
    requests = [receiver.make_probe(True, sent_at)]
    while requests:
        request = requests.pop()
        responses, _ = responder.handle_message(OWN_VM, request, received_at)
        for response in responses:
            more, changed = receiver.handle_message(OTHER_VM, response, returned_at)
            requests += more
            has_changed = has_changed or changed
    return has_changed


def test_starting_vm_receives_all_state_from_another_vm():
    fresh, responder = make_replica_sync(), make_replica_sync(4, confirmed_at=98.0)
    assert exchange_messages(fresh, responder, 10.0, 100.0, 10.2)
    assert fresh.config.version == 4
    assert fresh.backends.accepts_requests("s1")
    # The responder's state was 2 s old, so it counts as confirmed 2 s before it was
    # requested, which was no earlier than the probe.
    assert fresh.config.freshness.confirmed_at >= 8.0
    assert fresh.config.compute_age(10.2) >= 2.0


def test_delayed_response_confirms_only_time_of_probe():
    receiver, responder = (
        make_replica_sync(4, confirmed_at=0.0),
        make_replica_sync(4, confirmed_at=100.0),
    )
    exchange_messages(
        receiver, responder, sent_at=10.0, received_at=100.0, returned_at=17.0
    )
    assert receiver.config.compute_age(17.0) == 7.0


def test_response_without_pending_request_is_ignored():
    sync = make_replica_sync(4, confirmed_at=1.0)
    response = ProbeResponse(99, 4, 4, 0.0, sync.backends.digest, 4, 0.0, ())
    assert sync.handle_message(OTHER_VM, response, 50.0) == ([], False)
    config_response = ConfigResponse(98, make_config(9), 9, 0.0)
    assert sync.handle_message(OTHER_VM, config_response, 50.0)[1] is False
    assert sync.config.version == 4
    assert sync.config.compute_age(50.0) == 49.0


def test_response_with_older_version_confirms_nothing():
    receiver, behind = (
        make_replica_sync(5, confirmed_at=1.0),
        make_replica_sync(4, confirmed_at=40.0),
    )
    exchange_messages(receiver, behind, 40.0, 40.0, 40.1)
    assert receiver.config.version == 5
    assert receiver.config.compute_age(41.0) == 40.0


def test_probe_response_lists_unready_vms():
    sync = make_replica_sync(4)
    sync.handle_message(OWN_VM, Probe(1, False, make_vm(OWN_VM)), 1.0)
    [response], _ = sync.handle_message(
        OTHER_VM, Probe(2, True, make_vm(OTHER_VM)), 1.0
    )
    assert response.unready == (OWN_VM,)
    sync.handle_message(OWN_VM, Probe(3, True, make_vm(OWN_VM)), 1.0)
    [response], _ = sync.handle_message(
        OTHER_VM, Probe(4, True, make_vm(OTHER_VM)), 1.0
    )
    assert response.unready == ()


def test_version_that_the_store_lost_supersedes_none_after_the_next_read():
    replica = ConfigReplica()
    replica.apply_config(make_config(8), Freshness(1, 10.0))
    assert replica.note_version(9, 10.5)
    # This read may have come before that version.
    replica.apply_config(make_config(8), Freshness(1, 10.4))
    assert replica.superseded_at == 10.5
    replica.apply_config(make_config(8), Freshness(1, 11.0))
    assert replica.superseded_at is None
    assert replica.note_version(9, 11.2)


def test_vm_that_can_not_read_requests_one_copy_of_a_version_that_many_have():
    behind = make_replica_sync(4, confirmed_at=1.0)
    requests = []
    for number in range(20):
        sender = Incarnation(f"vm-{number}")
        probe = Probe(number, True, make_vm(sender), False, 7, 0.2)
        replies, _ = behind.handle_message(sender, probe, 2.0 + number / 1000)
        requests += [it for it in replies if isinstance(it, ConfigRequest)]
    assert len(requests) == 1
    # The first may have ended before it sent its copy.
    probe = Probe(20, True, make_vm(OTHER_VM), False, 7, 0.2)
    replies, _ = behind.handle_message(OTHER_VM, probe, 2.3)
    [copy_request] = [it for it in replies if isinstance(it, ConfigRequest)]
    response = ConfigResponse(copy_request.number, make_config(7), 7, 0.2)
    assert behind.handle_message(OTHER_VM, response, 2.31)[1]
    assert behind.config.version == 7
    assert behind.config.superseded_at is None


def test_vm_with_old_replicas_finds_the_one_that_states_the_freshest():
    behind = make_replica_sync(4, confirmed_at=1.0)
    assert behind.find_fresher_vm(3.0) is None
    for name, age in (("old", 2.5), ("fresh", 0.3), ("other", 1.0)):
        sender = Incarnation(name)
        probe = Probe(1, True, make_vm(sender), False, 4, age)
        behind.handle_message(sender, probe, 3.0)
    assert behind.find_fresher_vm(3.0) == "fresh"
    # What a probe states proves nothing: it may have been delayed.
    assert behind.config.compute_age(3.0) == 2.0
    behind.remove_vm(Incarnation("fresh"))
    assert behind.find_fresher_vm(3.0) == "other"
