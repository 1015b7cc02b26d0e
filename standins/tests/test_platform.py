import asyncio
from contextlib import asynccontextmanager

import pytest

from fireflyquay.contracts import (
    StoreConflict,
    StoredValue,
    StoreFailure,
    StoreList,
    StoreListResult,
    StoreNotFound,
    StoreRead,
    StoreWrite,
)
from fireflyquay.links import HttpClient, HttpLimits, HttpStore, HttpVmList
from fireflyquay.world import (
    FireflyquayError,
    RegionId,
    VmListing,
    VmListingState,
    ZoneId,
)
from standins.platform import Outage, Platform

PATH = "contracts/a b/ü"


@asynccontextmanager
async def run_store():
    platform, client = Platform(), HttpClient(HttpLimits())
    port = await platform.start()
    try:
        yield platform, HttpStore(client, platform.host, port)
    finally:
        await client.close()
        await platform.close()


def test_writes_raise_the_version_and_detect_conflicts():
    async def main():
        async with run_store() as (platform, store):
            assert await store.call(StoreRead(PATH), 2) == StoreNotFound(PATH)
            first = StoredValue(PATH, b"one", 1, 1)
            assert await store.call(StoreWrite(PATH, b"one", 0), 2) == first
            assert await store.call(StoreRead(PATH), 2) == first
            conflict = await store.call(StoreWrite(PATH, b"two", 0), 2)
            assert conflict == StoreConflict(PATH, 1)
            second = await store.call(StoreWrite(PATH, b"two", 1), 2)
            assert second == StoredValue(PATH, b"two", 2, 2)
            missing = await store.call(StoreWrite("other", b"x", 3), 2)
            assert missing == StoreConflict("other", 0)
            listing = await store.call(StoreList("contracts/"), 2)
            assert listing == StoreListResult((second,), 2)
            assert platform.counts == {"read": 2, "write": 4, "list": 1}

    asyncio.run(main())


def test_write_whose_response_is_lost_is_applied():
    async def main():
        async with run_store() as (platform, store):
            platform.switches.lost_write_answers = 1
            lost = await store.call(StoreWrite(PATH, b"one", 0), 2)
            assert lost == StoreFailure(PATH, may_have_applied=True)
            assert (await store.call(StoreRead(PATH), 2)).value == b"one"

    asyncio.run(main())


@pytest.mark.parametrize("outage", [Outage.REFUSE, Outage.HANG])
def test_requests_fail_until_the_outage_ends(outage):
    async def main():
        async with run_store() as (platform, store):
            platform.switches.outage = outage
            read = await store.call(StoreRead(PATH), 0.1)
            assert read == StoreFailure(PATH, may_have_applied=False)
            write = await store.call(StoreWrite(PATH, b"one", 0), 0.1)
            assert write == StoreFailure(PATH, may_have_applied=True)
            await asyncio.sleep(0.05)
            platform.switches.outage = Outage.NONE
            assert await store.call(StoreRead(PATH), 2) == StoreNotFound(PATH)

    asyncio.run(main())


def test_write_to_a_stopped_store_is_not_applied():
    async def main():
        async with run_store() as (platform, store):
            await platform.close()
            write = await store.call(StoreWrite(PATH, b"one", 0), 2)
            assert write == StoreFailure(PATH, may_have_applied=False)

    asyncio.run(main())


def test_writes_over_the_rate_limit_are_rejected_and_not_applied():
    async def main():
        async with run_store() as (platform, store):
            platform.switches.writes_per_second = 3
            writes = [StoreWrite(f"p/{n}", b"", 0) for n in range(10)]
            results = [await store.call(write, 2) for write in writes]
            limited = [it for it in results if isinstance(it, StoreFailure)]
            assert len(limited) == platform.counts["limited"] > 0
            assert not any(it.may_have_applied for it in limited)

    asyncio.run(main())


def test_vm_list_shows_changes_after_the_lag():
    async def main():
        async with run_store() as (platform, store):
            vms = HttpVmList(store._client, platform.host, platform.port)
            first = VmListing("127.0.0.1", 9, ZoneId("a"), RegionId("r"))
            last = VmListing(
                "127.0.0.1", 9, ZoneId("a"), RegionId("r"), VmListingState.LEAVING
            )
            platform.set_vms([first])
            assert await vms.list() == (first,)
            platform.switches.vm_lag = 0.2
            await asyncio.sleep(0.25)
            platform.set_vms([last])
            assert await vms.list() == (first,)
            await asyncio.sleep(0.25)
            assert await vms.list() == (last,)
            platform.switches.outage = Outage.REFUSE
            with pytest.raises(FireflyquayError):
                await vms.list()

    asyncio.run(main())


def test_switches_are_set_and_validated_over_http():
    async def main():
        async with run_store() as (platform, store):

            async def switch(body):
                return await store._client.request(
                    platform.host,
                    platform.port,
                    "POST",
                    "/standin/switch",
                    {},
                    body,
                    2.0,
                )

            assert (await switch(b'{"outage": "REFUSE", "delay": 0.1}')).status == 200
            assert platform.switches.outage is Outage.REFUSE
            for invalid in (b"[]", b'{"no": 1}', b'{"delay": "long"}'):
                assert (await switch(invalid)).status == 400

    asyncio.run(main())
