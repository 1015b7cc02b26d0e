"""Requests are admitted by a superseded configuration no longer than its bound."""

import pytest

from fireflyquay.dispatch import ConfigReplica, Freshness
from fireflyquay.dispatch.tests.builders import make_account, make_config, make_route
from fireflyquay.gateway import RequestMetadata
from fireflyquay.gateway._admission import AdmissionBounds, RejectionError, admit
from fireflyquay.world import AttemptId, Code, ModelName

CONFIRMED_AT, APPLY_SECONDS, MAX_AGE_SECONDS = 10.0, 2.0, 4.4
BOUNDS = AdmissionBounds(MAX_AGE_SECONDS, APPLY_SECONDS)


def make_replica(is_superseded):
    replica = ConfigReplica()
    config = make_config(7, (make_route("/ask/"),), (make_account(keys=("key-1",)),))
    replica.apply_config(config, Freshness(1, CONFIRMED_AT))
    if is_superseded:
        assert replica.note_version(9, CONFIRMED_AT + 0.5)
    return replica


def make_metadata(path="/ask/1", key="key-1"):
    attempt, model = AttemptId("r1"), ModelName("")
    host = "office.example"
    return RequestMetadata(
        attempt, host, path, key, None, model, 0, 0, False, "", AttemptId(""), ()
    )


def try_to_admit(replica, age, **request):
    """Return the version by which a request is admitted, or the code of its refusal."""
    try:
        admission = admit(replica, make_metadata(**request), CONFIRMED_AT + age, BOUNDS)
    except RejectionError as error:
        return error.code, error.retry_after
    return admission.version


def test_superseded_version_admits_no_request_beyond_the_bound_for_changes():
    replica = make_replica(is_superseded=True)
    assert try_to_admit(replica, 1.9) == 7
    code, retry_after = try_to_admit(replica, 2.1)
    assert code is Code.STALE_CONFIG
    assert retry_after > 0


def test_version_that_no_vm_knows_to_be_superseded_admits_during_an_outage():
    replica = make_replica(is_superseded=False)
    assert try_to_admit(replica, 4.3) == 7
    assert try_to_admit(replica, 4.5)[0] is Code.STALE_CONFIG


@pytest.mark.parametrize("request_", [{"path": "/added/1"}, {"key": "key-2"}])
def test_client_is_not_told_that_what_a_newer_version_may_hold_does_not_exist(request_):
    assert try_to_admit(make_replica(False), 0.5, **request_)[0] in (
        Code.UNKNOWN_ROUTE,
        Code.UNKNOWN_API_KEY,
    )
    code, retry_after = try_to_admit(make_replica(True), 0.5, **request_)
    assert code is Code.STALE_CONFIG
    assert retry_after > 0


def test_newer_version_in_force_admits_again():
    replica = make_replica(is_superseded=True)
    replica.apply_config(make_config(8), Freshness(2, CONFIRMED_AT + 0.4))
    assert replica.superseded_at is not None
    replica.apply_config(make_config(9), Freshness(3, CONFIRMED_AT + 0.6))
    assert replica.superseded_at is None
    assert try_to_admit(replica, 4.0) == 9
