"""Tests of lists of the store and of VMs in which some items are odd."""

import asyncio
import base64
import json

import pytest

from fireflyquay.contracts import StoreList
from fireflyquay.links import HttpResponse, HttpStore, HttpVmList
from fireflyquay.world import VmListing

ODD_ITEMS = [
    *(None, 5, "x", [], {}, {"path": "p/x"}),
    {"path": "p/x", "value": "?", "version": 1, "revision": 1},
    {"path": 5, "value": "", "version": 1, "revision": 1},
    {"path": "p/x", "value": "", "version": 2**70, "revision": 1},
    {"path": "p/x", "value": "", "version": 1, "revision": "1"},
]


class BodyClient:
    """Respond to each request with the given JSON."""

    def __init__(self, body):
        self.body = json.dumps(body).encode()

    def keeps_connection(self, host, port):
        return False

    async def request(self, *call):
        return HttpResponse(200, {}, self.body)


@pytest.mark.parametrize("odd", ODD_ITEMS)
def test_odd_listed_object_does_not_hide_others(odd):
    good = {"path": "p/good", "value": "", "version": 1, "revision": 1}
    good["value"] = base64.b64encode(b"text").decode()
    client = BodyClient({"items": [good, odd, {**good, "path": "p/z"}], "revision": 9})
    store = HttpStore(client, "127.0.0.1", 1)
    result = asyncio.run(store.call(StoreList("p/"), 1.0))
    assert [it.path for it in result.values] == ["p/good", "p/z"]


@pytest.mark.parametrize("odd", [None, 5, {}, {"host": 5}, {"host": "a"}])
def test_odd_listed_vm_does_not_hide_others(odd):
    good = {"host": "10.0.0.1", "peer_port": 9, "zone": "z", "region": "r"}
    vms = HttpVmList(BodyClient([odd, good]), "127.0.0.1", 1)
    assert asyncio.run(vms.list()) == (VmListing("10.0.0.1", 9, "z", "r"),)
