"""Callers' requests through entry VMs to engines and services."""

import asyncio

import logbook
import msgspec
import pytest

from fireflyquay.contracts import StoreRead
from fireflyquay.interface import _key_claims
from fireflyquay.links import HttpStore
from fireflyquay.world import BackendState, ContractState, Limits, Tier
from standins import wait_until
from standins.answers import compute_expected_result, compute_expected_text
from standins.platform import Outage

from .rig import OPERATOR, TOKEN, run_rig

MAX_TOKENS = 40


def run(scene, **options):
    async def main():
        async with run_rig(**options) as rig:
            await scene(rig)

    asyncio.run(asyncio.wait_for(main(), 60.0))


def list_runs(servers):
    return [run.key for server in servers for run in server.executions]


def test_an_engine_answers_whole_and_in_events():
    async def scene(rig):
        whole = await rig.send("work-order")
        key = whole.body["key"]
        body = b'{"prompt":"' + b"draft " * 20 + b'","max_tokens":40}'
        text = compute_expected_text(key, body, MAX_TOKENS).decode()
        assert (whole.status, whole.body["verdict"]) == (200, "RAN")
        assert whole.body["output"] == text
        stream = await rig.send("work-order", is_stream=True)
        *tokens, (last, done) = stream.events
        assert {name for name, _ in tokens} == {"token"}
        assert [data["index"] for _, data in tokens] == list(range(len(tokens)))
        told = "".join(data["text"] for _, data in tokens)
        assert told == compute_expected_text(done["key"], body, MAX_TOKENS).decode()
        assert (last, done["verdict"]) == ("done", "RAN")

    run(scene)


def test_a_service_answers_with_its_own_json():
    async def scene(rig):
        reply = await rig.send("booking", {"pins": 3}, key="order-17")
        assert reply.status == 200
        expected = compute_expected_result("order-17", "booking", b'{"pins":3}')
        assert reply.body["output"] == msgspec.json.decode(expected)
        assert (reply.body["key"], reply.body["verdict"]) == ("order-17", "RAN")

    run(scene)


@pytest.mark.parametrize(
    ("changes", "status", "code"),
    [
        ({"token": ""}, 401, "UNKNOWN_CUSTOMER"),
        ({"token": "wrong"}, 401, "UNKNOWN_CUSTOMER"),
        ({"kind": "nothing"}, 404, "UNKNOWN_KIND"),
        ({"kind": "label2"}, 404, "UNKNOWN_KIND"),
        ({"body": b"{"}, 400, "BAD_REQUEST"),
        ({"body": b"[1]"}, 400, "BAD_REQUEST"),
        ({"body": b'{"prompt": 1}'}, 400, "BAD_REQUEST"),
        ({"body": b'{"prompt": "\xff"}'}, 400, "BAD_REQUEST"),
        ({"body": b"[" * 100_000}, 400, "BAD_REQUEST"),
        ({"body": b'{"max_tokens": 1e400}'}, 400, "BAD_REQUEST"),
        ({"body": b"x" * ((1 << 20) + 1)}, 413, "BODY_TOO_LARGE"),
        ({"body": {"prompt": "x", "max_tokens": -1}}, 400, "BAD_REQUEST"),
        ({"key": "a b"}, 400, "BAD_KEY"),
        ({"key": "k" * 201}, 400, "BAD_KEY"),
    ],
)
def test_what_cannot_be_served_gets_its_code(changes, status, code):
    async def scene(rig):
        reply = await rig.send(**{"kind": "label", **changes})
        assert (reply.status, reply.body["code"]) == (status, code)
        assert reply.body["verdict"] == "NOT_RUN"
        assert not list_runs(rig.engines)

    run(scene)


def test_contracts_decide_on_kinds_and_their_end():
    async def scene(rig):
        rig.put_contract("brolga", "brolga-token", tiers={"label": Tier.BATCH})
        rig.put_contract("old", "old-token", state=ContractState.ENDED)
        version = rig.entries[0].describe().config_version
        await wait_until(lambda: rig.entries[0].describe().config_version > version)
        other = await rig.send("work-order", token="brolga-token")
        assert (other.status, other.body["code"]) == (403, "KIND_NOT_IN_CONTRACT")
        ended = await rig.send("label", token="old-token")
        assert (ended.status, ended.body["code"]) == (403, "CONTRACT_ENDED")
        assert (await rig.send("label", token="brolga-token")).status == 200

    run(scene)


@pytest.mark.parametrize(
    ("limits", "code"),
    [
        (Limits(0.1, 1e6, 100), "RATE_LIMITED"),
        (Limits(1000.0, 0.1, 100), "TOKENS_LIMITED"),
        (Limits(1000.0, 1e6, 0), "IN_FLIGHT_LIMITED"),
    ],
)
def test_limits_hold_over_all_entry_vms(limits, code):
    async def scene(rig):
        rig.put_contract(limits=limits, version=2)
        before = rig.entries[0].describe().config_version
        await wait_until(
            lambda: all(e.describe().config_version > before for e in rig.entries)
        )
        replies = [await rig.send("label", entry=n % 3) for n in range(4)]
        codes = [reply.body.get("code") for reply in replies]
        assert codes.count(None) <= 1
        assert set(codes) - {None} == {code}
        refused = next(reply for reply in replies if reply.status != 200)
        assert refused.status == 429
        assert int(refused.headers["retry-after"]) >= 1

    run(scene, entries=3)


def test_a_key_runs_once_however_often_and_wherever_it_is_sent():
    async def scene(rig):
        replies = await asyncio.gather(
            *(rig.send("booking", {"n": 1}, n % 3, "order-17") for n in range(6))
        )
        assert sorted(reply.status for reply in replies) == [200] + [409] * 5
        for reply in replies:
            if reply.status != 200:
                assert reply.body["code"] == "KEY_TAKEN"
                assert reply.body["verdict"] == "MAY_HAVE_RUN"
        assert list_runs(rig.services) == ["order-17"]
        other = await rig.send("booking", {"n": 2}, 1, "order-17")
        assert (other.status, other.body["code"]) == (422, "KEY_REUSED")
        rig.put_contract("brolga", "brolga-token")
        version = rig.entries[0].describe().config_version
        await wait_until(lambda: rig.entries[0].describe().config_version > version)
        own = await rig.send("booking", {"n": 1}, key="order-17", token="brolga-token")
        assert own.status == 200

    run(scene, entries=3)


def test_a_key_whose_request_did_not_run_can_be_sent_again():
    async def scene(rig):
        rig.services[0].switches.refuse = True
        refused = await rig.send("booking", {}, key="order-17")
        assert (refused.status, refused.body["verdict"]) == (503, "NOT_RUN")
        rig.services[0].switches.refuse = False
        assert (await rig.send("booking", {}, key="order-17")).status == 200
        assert list_runs(rig.services) == ["order-17"]

    run(scene)


def test_a_claim_whose_answer_was_lost_holds():
    async def scene(rig):
        rig.platform.switches.lost_write_answers = 1
        assert (await rig.send("booking", {}, key="order-17")).status == 200
        assert (await rig.send("booking", {}, key="order-17")).status == 409

    run(scene)


def test_without_the_store_only_work_with_a_key_is_refused():
    async def scene(rig):
        rig.platform.switches.outage = Outage.REFUSE
        refused = await rig.send("booking", {}, key="order-17")
        assert (refused.status, refused.body["code"]) == (503, "STORE_UNAVAILABLE")
        assert refused.body["verdict"] == "NOT_RUN"
        assert (await rig.send("booking", {})).status == 200
        assert (await rig.send("label", key="label-1")).status == 200
        rig.platform.switches.outage = Outage.NONE
        assert (await rig.send("booking", {}, key="order-17")).status == 200
        assert list_runs(rig.services).count("order-17") == 1

    run(scene)


def test_a_claim_of_nonsense_bars_its_key():
    async def scene(rig):
        path = _key_claims.locate_claim("treipuu/order-17")
        assert rig.platform.objects.write(path, b"[", 0)
        reply = await rig.send("booking", {}, key="order-17")
        assert (reply.status, reply.body["verdict"]) == (409, "MAY_HAVE_RUN")
        store = HttpStore(rig.client, "127.0.0.1", rig.platform.port)
        assert (await store.call(StoreRead(path), 1.0)).value == b"["

    run(scene)


def test_an_engine_that_crashes_leaves_its_caller_in_doubt():
    async def scene(rig):
        body = {"prompt": "CRASH-ENGINE", "max_tokens": 8}
        reply = await rig.send("work-order", body)
        assert (reply.status, reply.body["verdict"]) == (502, "MAY_HAVE_RUN")
        assert len(list_runs(rig.engines)) == 1

    run(scene, engines=2)


def test_idempotent_work_goes_to_another_engine():
    async def scene(rig):
        rig.engines[0].switches.refuse = True
        replies = [await rig.send("label") for _ in range(4)]
        assert [reply.status for reply in replies] == [200] * 4
        assert len(list_runs(rig.engines[1:])) == 4

    run(scene, engines=2)


def test_a_stream_that_breaks_off_says_so():
    async def scene(rig):
        rig.engines[0].switches.decode_rate = 20.0
        body = {"prompt": "x", "max_tokens": 400}
        sending = asyncio.ensure_future(rig.send("work-order", body, is_stream=True))
        await wait_until(
            lambda: any(r.output_tokens for r in rig.engines[0].executions)
        )
        rig.engines[0].crash(5.0)
        events = (await sending).events
        name, failure = events[-1]
        assert name == "failed"
        assert failure["verdict"] == "MAY_HAVE_RUN"

    run(scene)


def test_a_caller_that_leaves_ends_its_run():
    async def scene(rig):
        rig.engines[0].switches.decode_rate = 5.0
        body = {"prompt": "x", "max_tokens": 400}
        sending = asyncio.ensure_future(rig.send("work-order", body))
        await wait_until(lambda: bool(rig.engines[0].executions))
        sending.cancel()
        await asyncio.gather(sending, return_exceptions=True)
        await wait_until(lambda: rig.engines[0].executions[0].state == "CANCELLED")

    run(scene)


def test_a_leaving_backend_server_gets_nothing_new():
    async def scene(rig):
        rig.put_backend(rig.engines[0], BackendState.LEAVING)
        await wait_until(
            lambda: all(e.describe().backends.get("LEAVING") for e in rig.entries)
        )
        for number in range(6):
            assert (await rig.send("label", entry=number % 2)).status == 200
        assert not rig.engines[0].executions

    run(scene, entries=2, engines=2)


def test_an_unreadable_contract_keeps_the_last_one():
    async def scene(rig):
        path = "contracts/treipuu"
        version = rig.platform.objects.read(path).version
        assert rig.platform.objects.write(path, b"{", version)
        await asyncio.sleep(0.5)
        assert (await rig.send("label")).status == 200

    log = logbook.TestHandler()
    with log.applicationbound():
        run(scene)
    # Told once, though it is read ten times a second.
    events = [it.message for it in log.records]
    assert events.count("contract unreadable") == 1


def test_pages_tell_of_entries_health_and_state():
    async def scene(rig):
        entries = (await rig.ask("GET", "/v1/entries")).body
        hosts = {entry["host"] for entry in entries["entries"]}
        assert hosts == {"127.0.0.1", "127.0.0.2"}
        assert entries["keep_seconds"] > 0
        assert (await rig.ask("GET", "/healthz")).status == 200
        assert (await rig.ask("GET", "/readyz")).status == 200
        metrics = (await rig.ask("GET", "/metrics")).data
        assert b"fireflyquay_gateway_requests" in metrics
        headers = {"authorization": f"Bearer {OPERATOR}"}
        status = (await rig.ask("GET", "/v1/status", headers)).body
        assert len(status["vms"]) == 2
        assert status["backends"] == {"READY": 2}
        for secret in (TOKEN, OPERATOR):
            assert (
                secret
                not in (await rig.ask("GET", "/v1/status", headers)).data.decode()
            )
        own = {"authorization": f"Bearer {TOKEN}"}
        for wrong in (own, {}, {"authorization": "Bearer wrong"}):
            assert (await rig.ask("GET", "/v1/status", wrong)).status == 401
        assert (await rig.ask("GET", "/v1/nothing", own)).status == 404

    run(scene, entries=2)


def test_a_killed_entry_vm_leaves_the_others_serving():
    async def scene(rig):
        await rig.entries[0].abort()
        for _ in range(3):
            for entry in (1, 2):
                assert (await rig.send("work-order", entry=entry)).status == 200

    run(scene, entries=3)


def test_a_planned_stop_ends_what_runs():
    async def scene(rig):
        rig.engines[0].switches.decode_rate = 30.0
        sending = asyncio.ensure_future(rig.send("work-order"))
        await wait_until(lambda: bool(rig.engines[0].executions))
        entry = rig.entries.pop(0)
        await entry.stop()
        assert (await sending).status == 200

    run(scene, entries=2)
