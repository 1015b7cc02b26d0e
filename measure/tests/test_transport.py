import asyncio

import pytest

from measure.transport import TRANSPORTS, build_messages, decode, encode, time_frames


@pytest.mark.parametrize("transport_type", TRANSPORTS)
def test_each_transport_transfers_batches(transport_type):
    assert asyncio.run(time_frames(transport_type, 3, 2)) >= 0


def test_decoded_frame_contains_every_message():
    assert decode(encode(build_messages(7))) == 7
