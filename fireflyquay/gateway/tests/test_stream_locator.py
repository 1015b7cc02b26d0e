"""Tests of the locator of streams that clients resume."""

import asyncio
from types import SimpleNamespace

from fireflyquay.dispatch import BackendRegistry, Freshness, StreamOrigin, StreamOrigins
from fireflyquay.dispatch.tests.test_software_versions import NEW, OLD, make_server
from fireflyquay.gateway._clock import LoopClock
from fireflyquay.gateway._stream_locator import StreamLocator
from fireflyquay.world import AttemptId, ServiceShare

STREAM = AttemptId("stream")


def make_call(service):
    metadata = SimpleNamespace(
        attempt_id=AttemptId("resuming"), resumed_attempt_id=STREAM, client_timeout=5.0
    )
    route = SimpleNamespace(shares=(ServiceShare(service, 1),))
    admission = SimpleNamespace(route=route)
    return SimpleNamespace(
        metadata=metadata, admission=admission, service=service, version=None
    )


def test_version_that_this_vm_has_not_read_is_not_taken_for_one_that_left():
    old, new = make_server("e1", OLD), make_server("e2", NEW)
    registry, origins = BackendRegistry(), StreamOrigins()
    registry.replace_all([old], Freshness(1, 0.0))
    origins.record(STREAM, StreamOrigin(new.service, NEW), 0.0)

    async def confirm(since):
        registry.replace_all([old, new], Freshness(2, since))

    locator = StreamLocator(origins, registry, confirm, LoopClock())
    call = make_call(new.service)
    asyncio.run(locator.locate(call))
    assert call.version == NEW
    # The slot request that follows finds a server of that version.
    assert registry.list_versions(new.service) == {OLD, NEW}
