import asyncio
from random import Random

import pytest
from client_fakes import (
    DONE_EVENT,
    FIRST_ENTRY,
    LIST_TTL_SECONDS,
    SECOND_ENTRY,
    FakeHttpFailureError,
    Response,
    ScriptedHttp,
    encode_events,
    make_answer,
    make_client,
    make_rejection,
    make_token_event,
    run,
)

from fireflyquay.client import EntriesUnreachable, RequestFailed, RetryBudget
from fireflyquay.world import Code, FireflyquayError, Verdict

BODY = {"prompt": "p", "max_tokens": 4}
SUCCESS = make_answer(output={"text": "x"})
CONNECTION_LOST, NOT_CONNECTED = FakeHttpFailureError(True), FakeHttpFailureError(False)


def send(monkeypatch, http, timeout=30.0, key=None, **options):
    client = make_client(monkeypatch, http, random=Random(1), **options)
    return run(client.request("label", BODY, timeout, key))


def list_header_values(http, name):
    return [sent.headers[name] for sent in http.sent]


def test_request_returns_the_answer_and_sends_headers(monkeypatch):
    http = ScriptedHttp([SUCCESS])
    answer = send(monkeypatch, http)
    assert (answer.key, answer.output) == ("k", {"text": "x"})
    (sent,) = http.sent
    assert (sent.address, sent.target) == (FIRST_ENTRY, "/v1/requests/label")
    assert sent.headers["Authorization"] == "Bearer secret"
    assert "Idempotency-Key" not in sent.headers


def test_entry_list_is_cached_for_its_ttl(monkeypatch):
    http = ScriptedHttp([SUCCESS] * 3)
    client = make_client(monkeypatch, http)

    async def send_three_times():
        await client.request("label", BODY)
        await asyncio.sleep(LIST_TTL_SECONDS / 2)
        await client.request("label", BODY)
        await asyncio.sleep(LIST_TTL_SECONDS / 2)
        await client.request("label", BODY)

    run(send_three_times())
    assert http.list_request_count == 2


def test_unsent_request_is_resent_to_the_next_entry(monkeypatch):
    http = ScriptedHttp([NOT_CONNECTED, SUCCESS])
    send(monkeypatch, http)
    assert [sent.address for sent in http.sent] == [FIRST_ENTRY, SECOND_ENTRY]


def test_request_without_key_is_not_resent_after_a_lost_connection(monkeypatch):
    http = ScriptedHttp([CONNECTION_LOST, SUCCESS])
    with pytest.raises(RequestFailed) as caught:
        send(monkeypatch, http)
    assert caught.value.verdict is Verdict.MAY_HAVE_RUN
    assert len(http.sent) == 1


def test_request_with_key_is_resent_after_a_lost_connection(monkeypatch):
    http = ScriptedHttp([CONNECTION_LOST, NOT_CONNECTED, SUCCESS])
    send(monkeypatch, http, key="order-17")
    assert [sent.address for sent in http.sent] == [
        FIRST_ENTRY,
        SECOND_ENTRY,
        FIRST_ENTRY,
    ]
    assert list_header_values(http, "Idempotency-Key") == ["order-17"] * 3


@pytest.mark.parametrize(
    ("failure", "verdict"),
    [(CONNECTION_LOST, Verdict.MAY_HAVE_RUN), (NOT_CONNECTED, Verdict.NOT_RUN)],
)
def test_resends_stop_at_the_timeout_with_the_correct_verdict(
    monkeypatch, failure, verdict
):
    http = ScriptedHttp([failure] * 100)
    with pytest.raises(RequestFailed) as caught:
        send(monkeypatch, http, timeout=5.0, key="order-17")
    assert caught.value.verdict is verdict
    assert caught.value.key == "order-17"
    assert len(http.sent) < 20


def test_hanging_request_fails_at_the_timeout_as_may_have_run(monkeypatch):
    http = ScriptedHttp(["hang"])
    with pytest.raises(RequestFailed) as caught:
        send(monkeypatch, http, timeout=5.0)
    assert caught.value.verdict is Verdict.MAY_HAVE_RUN


def test_request_with_key_is_resent_after_an_entry_becomes_unresponsive(monkeypatch):
    http = ScriptedHttp(["hang", SUCCESS], unresponsive=(FIRST_ENTRY,))
    send(monkeypatch, http, key="order-17")
    assert [sent.address for sent in http.sent] == [FIRST_ENTRY, SECOND_ENTRY]
    assert 5.0 <= http.sent[1].sent_at <= 8.0


def test_request_without_key_may_have_run_if_the_entry_is_unresponsive(monkeypatch):
    http = ScriptedHttp(["hang", SUCCESS], unresponsive=(FIRST_ENTRY,))
    with pytest.raises(RequestFailed) as caught:
        send(monkeypatch, http)
    assert caught.value.verdict is Verdict.MAY_HAVE_RUN


def test_slow_request_at_a_healthy_entry_is_not_aborted(monkeypatch):
    http = ScriptedHttp(["hang"])
    with pytest.raises(RequestFailed):
        send(monkeypatch, http, timeout=29.0)
    assert (len(http.sent), http.health_check_count) == (1, 5)


def test_rejected_request_is_retried_after_retry_after(monkeypatch):
    http = ScriptedHttp([make_rejection(503, "OVERLOADED", "NOT_RUN", 3.0), SUCCESS])
    send(monkeypatch, http)
    assert 3.0 <= http.sent[1].sent_at <= 3.6


def test_retries_send_the_same_key(monkeypatch):
    http = ScriptedHttp([make_rejection(503, "OVERLOADED", "NOT_RUN", 1.0), SUCCESS])
    send(monkeypatch, http, key="order-17")
    assert list_header_values(http, "Idempotency-Key") == ["order-17", "order-17"]


@pytest.mark.parametrize(
    "response",
    [
        make_rejection(504, "STREAM_LOST", "MAY_HAVE_RUN", 1.0),
        make_rejection(500, "BACKEND_FAILED", "RAN", 1.0),
        make_rejection(400, "BAD_REQUEST", "NOT_RUN"),
        Response(502, b"<html>"),
        Response(200, b"\xff"),
        Response(200, b'{"verdict": "MAY_HAVE_RUN"}'),
        make_rejection(409, "KEY_TAKEN", "MAY_HAVE_RUN"),
    ],
)
def test_request_that_may_have_run_or_is_invalid_is_not_retried(monkeypatch, response):
    http = ScriptedHttp([response, SUCCESS])
    with pytest.raises(RequestFailed):
        send(monkeypatch, http)
    assert len(http.sent) == 1


def test_invalid_response_counts_as_may_have_run(monkeypatch):
    with pytest.raises(RequestFailed) as caught:
        send(monkeypatch, ScriptedHttp([Response(503, b"{}")]))
    assert caught.value.verdict is Verdict.MAY_HAVE_RUN


def test_retries_stay_within_budget_and_timeout(monkeypatch):
    rejection = make_rejection(503, "OVERLOADED", "NOT_RUN", 1.0)
    budget = RetryBudget(max_attempts=3)
    http = ScriptedHttp([rejection] * 9)
    with pytest.raises(RequestFailed):
        send(monkeypatch, http, budget=budget)
    assert len(http.sent) == 3
    http = ScriptedHttp([make_rejection(503, "OVERLOADED", "NOT_RUN", 99.0)] * 9)
    with pytest.raises(RequestFailed):
        send(monkeypatch, http, timeout=5.0)
    assert len(http.sent) == 1
    http = ScriptedHttp([rejection] * 9)
    with pytest.raises(RequestFailed):
        send(monkeypatch, http, budget=RetryBudget(per_second=0.0, burst=1.0))
    assert len(http.sent) == 2


def test_retry_after_header_is_used_if_the_body_has_none(monkeypatch):
    response = make_rejection(
        429, "RATE_LIMITED", "NOT_RUN", None, ((b"retry-after", b"2"),)
    )
    http = ScriptedHttp([response, SUCCESS])
    send(monkeypatch, http)
    assert http.sent[1].sent_at >= 2.0


def test_unreachable_entries_are_reported_as_not_run(monkeypatch):
    with pytest.raises(EntriesUnreachable) as caught:
        send(monkeypatch, ScriptedHttp([], addresses=(SECOND_ENTRY,)))
    assert caught.value.verdict is Verdict.NOT_RUN


def test_invalid_key_is_rejected_before_sending(monkeypatch):
    with pytest.raises(FireflyquayError) as caught:
        send(monkeypatch, ScriptedHttp([]), key="a\r\nb")
    assert caught.value.code is Code.BAD_KEY


def collect_stream_texts(monkeypatch, http):
    client = make_client(monkeypatch, http, random=Random(1))

    async def read():
        return [t.text async for t in client.stream("report", BODY, 30.0)]

    return run(read())


def make_stream(*chunks):
    return Response(200, chunks=chunks)


def test_stream_is_parsed_across_chunk_boundaries(monkeypatch):
    data = encode_events(make_token_event(0), make_token_event(1), DONE_EVENT)
    pieces = tuple(data[start : start + 3] for start in range(0, len(data), 3))
    http = ScriptedHttp([make_stream(b": hello\r\n\r\n", *pieces)])
    assert collect_stream_texts(monkeypatch, http) == ["t0", "t1"]
    assert http.sent[0].headers["Accept"] == "text/event-stream"


@pytest.mark.parametrize(
    "ending",
    [
        (CONNECTION_LOST,),
        (),
        (encode_events(make_token_event(5), DONE_EVENT),),
        ("hang",),
    ],
)
def test_incomplete_stream_fails_as_may_have_run(monkeypatch, ending):
    first = make_stream(
        encode_events(make_token_event(0), make_token_event(1)), *ending
    )
    http = ScriptedHttp(
        [first, make_stream(encode_events(make_token_event(0), DONE_EVENT))],
        unresponsive=(FIRST_ENTRY, SECOND_ENTRY),
    )
    with pytest.raises(RequestFailed) as caught:
        collect_stream_texts(monkeypatch, http)
    assert caught.value.verdict is Verdict.MAY_HAVE_RUN
    assert len(http.sent) == 1


def test_failed_event_is_retried_only_before_the_first_token(monkeypatch):
    body = {"code": "OVERLOADED", "verdict": "NOT_RUN", "retry_after": 1.0}
    http = ScriptedHttp(
        [make_stream(encode_events(make_token_event(0), ("failed", body)))]
    )
    with pytest.raises(RequestFailed):
        collect_stream_texts(monkeypatch, http)
    first = make_stream(encode_events(("failed", body)))
    http = ScriptedHttp(
        [first, make_stream(encode_events(make_token_event(0), DONE_EVENT))]
    )
    assert collect_stream_texts(monkeypatch, http) == ["t0"]
    assert len(http.sent) == 2


def test_rejected_stream_is_retried(monkeypatch):
    rejection = make_rejection(503, "OVERLOADED", "NOT_RUN", 1.0)
    http = ScriptedHttp(
        [rejection, make_stream(encode_events(make_token_event(0), DONE_EVENT))]
    )
    assert collect_stream_texts(monkeypatch, http) == ["t0"]


def test_closing_a_stream_early_closes_its_connection(monkeypatch):
    http = ScriptedHttp(
        [
            make_stream(
                encode_events(make_token_event(0), make_token_event(1)), CONNECTION_LOST
            )
        ]
    )
    client = make_client(monkeypatch, http)

    async def read_one():
        tokens = client.stream("report", BODY, 30.0)
        await anext(tokens)
        assert http.open_requests == 1
        await tokens.aclose()
        return http.open_requests

    assert run(read_one()) == 0


def test_oversized_event_is_rejected(monkeypatch):
    chunk = b"data: " + b"x" * (1 << 20)
    with pytest.raises(RequestFailed):
        collect_stream_texts(monkeypatch, ScriptedHttp([make_stream(chunk, chunk)]))
