"""Tests of requests through entry VMs to engines and services."""

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

from .cluster import OPERATOR_TOKEN, TOKEN, run_cluster

MAX_TOKENS = 40


def run_scenario(scenario, **options):
    async def run():
        async with run_cluster(**options) as cluster:
            await scenario(cluster)

    asyncio.run(asyncio.wait_for(run(), 60.0))


def list_executed_keys(servers):
    return [execution.key for server in servers for execution in server.executions]


def test_engine_response_is_returned_complete_or_streamed():
    async def scenario(cluster):
        complete = await cluster.send("work-order")
        key = complete.body["key"]
        body = b'{"prompt":"' + b"draft " * 20 + b'","max_tokens":40}'
        text = compute_expected_text(key, body, MAX_TOKENS).decode()
        assert (complete.status, complete.body["verdict"]) == (200, "RAN")
        assert complete.body["output"] == text
        stream = await cluster.send("work-order", is_stream=True)
        *tokens, (last, done) = stream.events
        assert {name for name, _ in tokens} == {"token"}
        assert [data["index"] for _, data in tokens] == list(range(len(tokens)))
        streamed_text = "".join(data["text"] for _, data in tokens)
        assert (
            streamed_text
            == compute_expected_text(done["key"], body, MAX_TOKENS).decode()
        )
        assert (last, done["verdict"]) == ("done", "RAN")

    run_scenario(scenario)


def test_service_json_is_returned_as_output():
    async def scenario(cluster):
        response = await cluster.send("booking", {"pins": 3}, key="order-17")
        assert response.status == 200
        expected = compute_expected_result("order-17", "booking", b'{"pins":3}')
        assert response.body["output"] == msgspec.json.decode(expected)
        assert (response.body["key"], response.body["verdict"]) == ("order-17", "RAN")

    run_scenario(scenario)


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
def test_invalid_requests_get_their_error_code(changes, status, code):
    async def scenario(cluster):
        response = await cluster.send(**{"kind": "label", **changes})
        assert (response.status, response.body["code"]) == (status, code)
        assert response.body["verdict"] == "NOT_RUN"
        assert not list_executed_keys(cluster.engines)

    run_scenario(scenario)


def test_requests_outside_the_contract_are_rejected():
    async def scenario(cluster):
        cluster.put_contract("brolga", "brolga-token", tiers={"label": Tier.BATCH})
        cluster.put_contract("old", "old-token", state=ContractState.ENDED)
        version = cluster.entries[0].get_status().config_version
        await wait_until(
            lambda: cluster.entries[0].get_status().config_version > version
        )
        other = await cluster.send("work-order", token="brolga-token")
        assert (other.status, other.body["code"]) == (403, "KIND_NOT_IN_CONTRACT")
        ended = await cluster.send("label", token="old-token")
        assert (ended.status, ended.body["code"]) == (403, "CONTRACT_ENDED")
        assert (await cluster.send("label", token="brolga-token")).status == 200

    run_scenario(scenario)


@pytest.mark.parametrize(
    ("limits", "code"),
    [
        (Limits(0.1, 1e6, 100), "RATE_LIMITED"),
        (Limits(1000.0, 0.1, 100), "TOKENS_LIMITED"),
        (Limits(1000.0, 1e6, 0), "IN_FLIGHT_LIMITED"),
    ],
)
def test_limits_apply_across_all_entry_vms(limits, code):
    async def scenario(cluster):
        cluster.put_contract(limits=limits, version=2)
        before = cluster.entries[0].get_status().config_version
        await wait_until(
            lambda: all(e.get_status().config_version > before for e in cluster.entries)
        )
        responses = [await cluster.send("label", entry=n % 3) for n in range(4)]
        codes = [response.body.get("code") for response in responses]
        assert codes.count(None) <= 1
        assert set(codes) - {None} == {code}
        rejected = next(response for response in responses if response.status != 200)
        assert rejected.status == 429
        assert int(rejected.headers["retry-after"]) >= 1

    run_scenario(scenario, entries=3)


def test_request_with_key_runs_once_when_sent_to_all_entry_vms():
    async def scenario(cluster):
        responses = await asyncio.gather(
            *(cluster.send("booking", {"n": 1}, n % 3, "order-17") for n in range(6))
        )
        assert sorted(response.status for response in responses) == [200] + [409] * 5
        for response in responses:
            if response.status != 200:
                assert response.body["code"] == "KEY_TAKEN"
                assert response.body["verdict"] == "MAY_HAVE_RUN"
        assert list_executed_keys(cluster.services) == ["order-17"]
        changed = await cluster.send("booking", {"n": 2}, 1, "order-17")
        assert (changed.status, changed.body["code"]) == (422, "KEY_REUSED")
        cluster.put_contract("brolga", "brolga-token")
        version = cluster.entries[0].get_status().config_version
        await wait_until(
            lambda: cluster.entries[0].get_status().config_version > version
        )
        other_account = await cluster.send(
            "booking", {"n": 1}, key="order-17", token="brolga-token"
        )
        assert other_account.status == 200

    run_scenario(scenario, entries=3)


def test_key_can_be_reused_after_a_request_that_did_not_run():
    async def scenario(cluster):
        cluster.services[0].switches.refuse = True
        rejected = await cluster.send("booking", {}, key="order-17")
        assert (rejected.status, rejected.body["verdict"]) == (503, "NOT_RUN")
        cluster.services[0].switches.refuse = False
        assert (await cluster.send("booking", {}, key="order-17")).status == 200
        assert list_executed_keys(cluster.services) == ["order-17"]

    run_scenario(scenario)


def test_key_is_claimed_when_the_store_response_is_lost():
    async def scenario(cluster):
        cluster.platform.switches.lost_write_answers = 1
        assert (await cluster.send("booking", {}, key="order-17")).status == 200
        assert (await cluster.send("booking", {}, key="order-17")).status == 409

    run_scenario(scenario)


def test_store_outage_rejects_only_requests_that_need_a_claim():
    async def scenario(cluster):
        cluster.platform.switches.outage = Outage.REFUSE
        rejected = await cluster.send("booking", {}, key="order-17")
        assert (rejected.status, rejected.body["code"]) == (503, "STORE_UNAVAILABLE")
        assert rejected.body["verdict"] == "NOT_RUN"
        assert (await cluster.send("booking", {})).status == 200
        assert (await cluster.send("label", key="label-1")).status == 200
        cluster.platform.switches.outage = Outage.NONE
        assert (await cluster.send("booking", {}, key="order-17")).status == 200
        assert list_executed_keys(cluster.services).count("order-17") == 1

    run_scenario(scenario)


def test_corrupt_claim_blocks_its_key():
    async def scenario(cluster):
        path = _key_claims.make_claim_path("treipuu/order-17")
        assert cluster.platform.objects.write(path, b"[", 0)
        response = await cluster.send("booking", {}, key="order-17")
        assert (response.status, response.body["verdict"]) == (409, "MAY_HAVE_RUN")
        store = HttpStore(cluster.client, "127.0.0.1", cluster.platform.port)
        assert (await store.call(StoreRead(path), 1.0)).value == b"["

    run_scenario(scenario)


def test_engine_crash_is_reported_as_may_have_run():
    async def scenario(cluster):
        body = {"prompt": "CRASH-ENGINE", "max_tokens": 8}
        response = await cluster.send("work-order", body)
        assert (response.status, response.body["verdict"]) == (502, "MAY_HAVE_RUN")
        assert len(list_executed_keys(cluster.engines)) == 1

    run_scenario(scenario, engines=2)


def test_idempotent_request_is_retried_on_another_engine():
    async def scenario(cluster):
        cluster.engines[0].switches.refuse = True
        responses = [await cluster.send("label") for _ in range(4)]
        assert [response.status for response in responses] == [200] * 4
        assert len(list_executed_keys(cluster.engines[1:])) == 4

    run_scenario(scenario, engines=2)


def test_interrupted_stream_ends_with_a_failed_event():
    async def scenario(cluster):
        cluster.engines[0].switches.decode_rate = 20.0
        body = {"prompt": "x", "max_tokens": 400}
        task = asyncio.ensure_future(cluster.send("work-order", body, is_stream=True))
        await wait_until(
            lambda: any(r.output_tokens for r in cluster.engines[0].executions)
        )
        cluster.engines[0].crash(5.0)
        events = (await task).events
        name, failure = events[-1]
        assert name == "failed"
        assert failure["verdict"] == "MAY_HAVE_RUN"

    run_scenario(scenario)


def test_client_disconnect_cancels_the_run():
    async def scenario(cluster):
        cluster.engines[0].switches.decode_rate = 5.0
        body = {"prompt": "x", "max_tokens": 400}
        task = asyncio.ensure_future(cluster.send("work-order", body))
        await wait_until(lambda: bool(cluster.engines[0].executions))
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        await wait_until(lambda: cluster.engines[0].executions[0].state == "CANCELLED")

    run_scenario(scenario)


def test_leaving_backend_server_gets_no_new_requests():
    async def scenario(cluster):
        cluster.put_backend(cluster.engines[0], BackendState.LEAVING)
        await wait_until(
            lambda: all(e.get_status().backends.get("LEAVING") for e in cluster.entries)
        )
        for number in range(6):
            assert (await cluster.send("label", entry=number % 2)).status == 200
        assert not cluster.engines[0].executions

    run_scenario(scenario, entries=2, engines=2)


def test_last_readable_contract_stays_in_force():
    async def scenario(cluster):
        path = "contracts/treipuu"
        version = cluster.platform.objects.read(path).version
        assert cluster.platform.objects.write(path, b"{", version)
        await asyncio.sleep(0.5)
        assert (await cluster.send("label")).status == 200

    log = logbook.TestHandler()
    with log.applicationbound():
        run_scenario(scenario)
    # Logged once, although the contract is read ten times a second.
    events = [record.message for record in log.records]
    assert events.count("contract unreadable") == 1


def test_endpoints_return_entries_health_metrics_and_status():
    async def scenario(cluster):
        entries = (await cluster.request("GET", "/v1/entries")).body
        hosts = {entry["host"] for entry in entries["entries"]}
        assert hosts == {"127.0.0.1", "127.0.0.2"}
        assert entries["keep_seconds"] > 0
        assert (await cluster.request("GET", "/healthz")).status == 200
        assert (await cluster.request("GET", "/readyz")).status == 200
        metrics = (await cluster.request("GET", "/metrics")).data
        assert b"fireflyquay_gateway_requests" in metrics
        headers = {"authorization": f"Bearer {OPERATOR_TOKEN}"}
        status = (await cluster.request("GET", "/v1/status", headers)).body
        assert len(status["vms"]) == 2
        assert status["backends"] == {"READY": 2}
        for secret in (TOKEN, OPERATOR_TOKEN):
            assert (
                secret
                not in (
                    await cluster.request("GET", "/v1/status", headers)
                ).data.decode()
            )
        customer = {"authorization": f"Bearer {TOKEN}"}
        for wrong in (customer, {}, {"authorization": "Bearer wrong"}):
            assert (await cluster.request("GET", "/v1/status", wrong)).status == 401
        assert (await cluster.request("GET", "/v1/nothing", customer)).status == 404

    run_scenario(scenario, entries=2)


def test_other_entry_vms_serve_after_one_is_killed():
    async def scenario(cluster):
        await cluster.entries[0].abort()
        for _ in range(3):
            for entry in (1, 2):
                assert (await cluster.send("work-order", entry=entry)).status == 200

    run_scenario(scenario, entries=3)


def test_stop_completes_running_requests():
    async def scenario(cluster):
        cluster.engines[0].switches.decode_rate = 30.0
        task = asyncio.ensure_future(cluster.send("work-order"))
        await wait_until(lambda: bool(cluster.engines[0].executions))
        entry = cluster.entries.pop(0)
        await entry.stop()
        assert (await task).status == 200

    run_scenario(scenario, entries=2)
