import asyncio
from random import Random

import pytest
from client_fakes import (
    DONE,
    HOME,
    LIST_SECONDS,
    SECOND,
    Reply,
    ScriptedError,
    ScriptedHttp,
    answer,
    events,
    make_client,
    refusal,
    run,
    token,
)

from fireflyquay.client import EntriesUnreachable, RequestFailed, RetryBudget
from fireflyquay.world import Code, FireflyquayError, Verdict

BODY = {"prompt": "p", "max_tokens": 4}
SERVED = answer(output={"text": "x"})
LOST, UNREACHED = ScriptedError(True), ScriptedError(False)


def send(monkeypatch, http, timeout=30.0, key=None, **options):
    client = make_client(monkeypatch, http, random=Random(1), **options)
    return run(client.request("label", BODY, timeout, key))


def list_field(http, name):
    return [sent.headers[name] for sent in http.sent]


def test_answer_comes_back_and_headers_are_sent(monkeypatch):
    http = ScriptedHttp([SERVED])
    response = send(monkeypatch, http)
    assert (response.key, response.output) == ("k", {"text": "x"})
    (sent,) = http.sent
    assert (sent.address, sent.target) == (HOME, "/v1/requests/label")
    assert sent.headers["Authorization"] == "Bearer secret"
    assert "Idempotency-Key" not in sent.headers


def test_list_is_kept_as_long_as_told(monkeypatch):
    http = ScriptedHttp([SERVED] * 3)
    client = make_client(monkeypatch, http)

    async def send_thrice():
        await client.request("label", BODY)
        await asyncio.sleep(LIST_SECONDS / 2)
        await client.request("label", BODY)
        await asyncio.sleep(LIST_SECONDS / 2)
        await client.request("label", BODY)

    run(send_thrice())
    assert http.lists == 2


def test_send_that_reached_nobody_goes_to_the_next_entry(monkeypatch):
    http = ScriptedHttp([UNREACHED, SERVED])
    send(monkeypatch, http)
    assert [sent.address for sent in http.sent] == [HOME, SECOND]


def test_lost_connection_is_never_sent_again_without_a_key(monkeypatch):
    http = ScriptedHttp([LOST, SERVED])
    with pytest.raises(RequestFailed) as caught:
        send(monkeypatch, http)
    assert caught.value.verdict is Verdict.MAY_HAVE_RUN
    assert len(http.sent) == 1


def test_lost_connection_sends_an_own_key_to_another_entry(monkeypatch):
    http = ScriptedHttp([LOST, UNREACHED, SERVED])
    send(monkeypatch, http, key="order-17")
    assert [sent.address for sent in http.sent] == [HOME, SECOND, HOME]
    assert list_field(http, "Idempotency-Key") == ["order-17"] * 3


@pytest.mark.parametrize(
    ("failure", "verdict"),
    [(LOST, Verdict.MAY_HAVE_RUN), (UNREACHED, Verdict.NOT_RUN)],
)
def test_resends_end_at_the_timeout_with_an_honest_verdict(
    monkeypatch, failure, verdict
):
    http = ScriptedHttp([failure] * 100)
    with pytest.raises(RequestFailed) as caught:
        send(monkeypatch, http, timeout=5.0, key="order-17")
    assert caught.value.verdict is verdict
    assert caught.value.key == "order-17"
    assert len(http.sent) < 20


def test_hanging_entry_ends_at_the_timeout_as_may_have_run(monkeypatch):
    http = ScriptedHttp(["hang"])
    with pytest.raises(RequestFailed) as caught:
        send(monkeypatch, http, timeout=5.0)
    assert caught.value.verdict is Verdict.MAY_HAVE_RUN


def test_frozen_entry_is_left_for_another_with_an_own_key(monkeypatch):
    http = ScriptedHttp(["hang", SERVED], frozen=(HOME,))
    send(monkeypatch, http, key="order-17")
    assert [sent.address for sent in http.sent] == [HOME, SECOND]
    assert 5.0 <= http.sent[1].at <= 8.0


def test_frozen_entry_without_a_key_ends_as_may_have_run(monkeypatch):
    http = ScriptedHttp(["hang", SERVED], frozen=(HOME,))
    with pytest.raises(RequestFailed) as caught:
        send(monkeypatch, http)
    assert caught.value.verdict is Verdict.MAY_HAVE_RUN


def test_slow_entry_that_is_healthy_is_waited_for(monkeypatch):
    http = ScriptedHttp(["hang"])
    with pytest.raises(RequestFailed):
        send(monkeypatch, http, timeout=29.0)
    assert (len(http.sent), http.probes) == (1, 5)


def test_not_run_is_tried_again_after_the_wait(monkeypatch):
    http = ScriptedHttp([refusal(503, "OVERLOADED", "NOT_RUN", 3.0), SERVED])
    send(monkeypatch, http)
    assert 3.0 <= http.sent[1].at <= 3.6


def test_own_key_is_kept_over_new_attempts(monkeypatch):
    http = ScriptedHttp([refusal(503, "OVERLOADED", "NOT_RUN", 1.0), SERVED])
    send(monkeypatch, http, key="order-17")
    assert list_field(http, "Idempotency-Key") == ["order-17", "order-17"]


@pytest.mark.parametrize(
    "response",
    [
        refusal(504, "STREAM_LOST", "MAY_HAVE_RUN", 1.0),
        refusal(500, "BACKEND_FAILED", "RAN", 1.0),
        refusal(400, "BAD_REQUEST", "NOT_RUN"),
        Reply(502, b"<html>"),
        Reply(200, b"\xff"),
        Reply(200, b'{"verdict": "MAY_HAVE_RUN"}'),
        refusal(409, "KEY_TAKEN", "MAY_HAVE_RUN"),
    ],
)
def test_what_may_have_run_or_is_wrong_is_never_tried_again(monkeypatch, response):
    http = ScriptedHttp([response, SERVED])
    with pytest.raises(RequestFailed):
        send(monkeypatch, http)
    assert len(http.sent) == 1


def test_unreadable_answer_counts_as_may_have_run(monkeypatch):
    with pytest.raises(RequestFailed) as caught:
        send(monkeypatch, ScriptedHttp([Reply(503, b"{}")]))
    assert caught.value.verdict is Verdict.MAY_HAVE_RUN


def test_retries_stay_within_budget_and_timeout(monkeypatch):
    refused = refusal(503, "OVERLOADED", "NOT_RUN", 1.0)
    budget = RetryBudget(max_attempts=3)
    http = ScriptedHttp([refused] * 9)
    with pytest.raises(RequestFailed):
        send(monkeypatch, http, budget=budget)
    assert len(http.sent) == 3
    http = ScriptedHttp([refusal(503, "OVERLOADED", "NOT_RUN", 99.0)] * 9)
    with pytest.raises(RequestFailed):
        send(monkeypatch, http, timeout=5.0)
    assert len(http.sent) == 1
    http = ScriptedHttp([refused] * 9)
    with pytest.raises(RequestFailed):
        send(monkeypatch, http, budget=RetryBudget(per_second=0.0, burst=1.0))
    assert len(http.sent) == 2


def test_retry_after_header_counts_without_one_in_the_body(monkeypatch):
    response = refusal(429, "RATE_LIMITED", "NOT_RUN", None, ((b"retry-after", b"2"),))
    http = ScriptedHttp([response, SERVED])
    send(monkeypatch, http)
    assert http.sent[1].at >= 2.0


def test_no_entry_at_all_is_told_as_not_run(monkeypatch):
    with pytest.raises(EntriesUnreachable) as caught:
        send(monkeypatch, ScriptedHttp([], addresses=(SECOND,)))
    assert caught.value.verdict is Verdict.NOT_RUN


def test_bad_key_is_refused_before_sending(monkeypatch):
    with pytest.raises(FireflyquayError) as caught:
        send(monkeypatch, ScriptedHttp([]), key="a\r\nb")
    assert caught.value.code is Code.BAD_KEY


def collect(monkeypatch, http):
    client = make_client(monkeypatch, http, random=Random(1))

    async def read():
        return [t.text async for t in client.stream("report", BODY, 30.0)]

    return run(read())


def stream_of(*chunks):
    return Reply(200, chunks=chunks)


def test_stream_is_read_whole_however_it_is_cut_into_chunks(monkeypatch):
    data = events(token(0), token(1), DONE)
    pieces = tuple(data[place : place + 3] for place in range(0, len(data), 3))
    http = ScriptedHttp([stream_of(b": hello\r\n\r\n", *pieces)])
    assert collect(monkeypatch, http) == ["t0", "t1"]
    assert http.sent[0].headers["Accept"] == "text/event-stream"


@pytest.mark.parametrize("cut", [(LOST,), (), (events(token(5), DONE),), ("hang",)])
def test_cut_stream_ends_as_may_have_run(monkeypatch, cut):
    first = stream_of(events(token(0), token(1)), *cut)
    http = ScriptedHttp(
        [first, stream_of(events(token(0), DONE))], frozen=(HOME, SECOND)
    )
    with pytest.raises(RequestFailed) as caught:
        collect(monkeypatch, http)
    assert caught.value.verdict is Verdict.MAY_HAVE_RUN
    assert len(http.sent) == 1


def test_failed_event_is_raised_and_not_retried_once_begun(monkeypatch):
    body = {"code": "OVERLOADED", "verdict": "NOT_RUN", "retry_after": 1.0}
    http = ScriptedHttp([stream_of(events(token(0), ("failed", body)))])
    with pytest.raises(RequestFailed):
        collect(monkeypatch, http)
    first = stream_of(events(("failed", body)))
    http = ScriptedHttp([first, stream_of(events(token(0), DONE))])
    assert collect(monkeypatch, http) == ["t0"]
    assert len(http.sent) == 2


def test_refused_stream_is_tried_again(monkeypatch):
    refused = refusal(503, "OVERLOADED", "NOT_RUN", 1.0)
    http = ScriptedHttp([refused, stream_of(events(token(0), DONE))])
    assert collect(monkeypatch, http) == ["t0"]


def test_leaving_a_stream_early_closes_its_connection(monkeypatch):
    http = ScriptedHttp([stream_of(events(token(0), token(1)), LOST)])
    client = make_client(monkeypatch, http)

    async def read_one():
        tokens = client.stream("report", BODY, 30.0)
        await anext(tokens)
        assert http.outstanding == 1
        await tokens.aclose()
        return http.outstanding

    assert run(read_one()) == 0


def test_endless_event_is_refused(monkeypatch):
    chunk = b"data: " + b"x" * (1 << 20)
    with pytest.raises(RequestFailed):
        collect(monkeypatch, ScriptedHttp([stream_of(chunk, chunk)]))
