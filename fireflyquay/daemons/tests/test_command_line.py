import json
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from pathlib import Path

import pytest
from test_operator_changes import FakeStore

from fireflyquay import links
from fireflyquay.daemons import _record_repository, main

EXAMPLE = Path(__file__).parents[3] / "docs" / "examples" / "node.toml"
CONTRACT = """
customer = "treipuu"
token = "secret-token"
share = 2
[tiers]
work-order = "URGENT"
[limits]
requests_per_second = 5
tokens_per_second = 9e3
in_flight = 4
"""
BACKEND = """
server = "engine-1"
pool = "drafting"
kind = "MODEL_ENGINE"
zone = "mackay"
host = "127.0.0.1"
port = 9100
slots = 8
token_slots = 64000
"""
STORE_OPTIONS = ["--store", "127.0.0.1:1"]
ENTRY_OPTIONS = ["--entries", "10.0.0.1:80", "--token", "secret-token"]
ENTRY_LIST = {
    "entries": [{"host": "10.0.0.1", "port": 80}, {"host": "10.0.0.2", "port": 80}],
    "keep_seconds": 20.0,
}


class FakeHttpFailureError(Exception):
    sent = True


@dataclass
class FakeResponse:
    status: int
    body: bytes
    headers: tuple = ()

    async def __aiter__(self):
        yield self.body


@dataclass
class FakeHttp:
    # Response per path, or per host and path.
    responses: dict = field(default_factory=dict)
    # Last body sent per path.
    bodies: dict = field(default_factory=dict)

    async def request(self, host, port, method, target, headers, body, timeout):
        self.bodies[target] = body
        response = self.responses.get((host, target), self.responses.get(target))
        if response is None:
            raise FakeHttpFailureError
        return response

    @asynccontextmanager
    async def stream(self, *arguments):
        yield await self.request(*arguments)


def make_response(value, status=200):
    return FakeResponse(status, json.dumps(value).encode())


@pytest.fixture
def store(monkeypatch):
    store = FakeStore()
    monkeypatch.setattr(_record_repository, "RETRY_DELAY_SECONDS", 0.0)
    monkeypatch.setattr(links, "HttpStore", lambda *_: store, raising=False)
    return store


@pytest.fixture
def http(monkeypatch):
    http = FakeHttp({"/v1/entries": make_response(ENTRY_LIST)})
    for name in ("STORE", "ENTRIES", "TOKEN"):
        monkeypatch.delenv(f"FIREFLYQUAY_{name}", raising=False)
    monkeypatch.setattr(links, "HttpClient", lambda _: http, raising=False)
    monkeypatch.setattr(links, "HttpLimits", object, raising=False)
    monkeypatch.setattr(links, "HttpFailure", FakeHttpFailureError, raising=False)
    return http


@pytest.fixture
def files(tmp_path):
    (tmp_path / "contract.toml").write_text(CONTRACT)
    (tmp_path / "backend.toml").write_text(BACKEND)
    return tmp_path


def run(capsys, *arguments):
    code = main([str(argument) for argument in arguments])
    return code, capsys.readouterr()


@pytest.mark.parametrize(
    "arguments",
    [
        [],
        ["nothing"],
        ["contract"],
        ["contract", "list"],
        ["contract", "list", "--store", "nowhere"],
        ["contract", "apply", "x", "--expect-version", "one"],
        ["backend", "leave"],
        ["entry"],
        ["trace", "k"],
        ["trace", "k", "log", "--around", "long"],
        ["status", "--entries", "1.1.1.1:99999"],
        ["request", "label"],
        ["request", "label", "--prompt", "a", "--body", "{}"],
        ["request", "label", "--body", "{"],
        ["request", "label", "--prompt", "a", "--timeout", "nan", *ENTRY_OPTIONS],
    ],
)
def test_invalid_arguments_exit_with_usage_code_and_message(capsys, http, arguments):
    code, printed = run(capsys, *arguments)
    assert code == 2
    assert printed.err
    assert "Traceback" not in printed.err


@pytest.mark.parametrize(
    "arguments",
    [
        ["entry", "--config", "none.toml"],
        ["config", "check", "none.toml"],
        ["contract", "apply", "none.toml", *STORE_OPTIONS],
        ["contract", "show", "nobody", *STORE_OPTIONS],
        ["contract", "history", "nobody", *STORE_OPTIONS],
        ["backend", "join", "none.toml", *STORE_OPTIONS],
        ["backend", "stop", "nobody", *STORE_OPTIONS],
        ["trace", "k", "none.log"],
    ],
)
def test_missing_files_and_records_fail_with_an_error_code(
    capsys, http, store, arguments
):
    code, printed = run(capsys, *arguments)
    assert code == 1
    assert printed.err.split(":")[0].isupper()


def test_config_check_prints_every_fault(capsys, tmp_path):
    assert run(capsys, "config", "check", EXAMPLE)[0] == 0
    bad = tmp_path / "bad.toml"
    bad.write_text(EXAMPLE.read_text().replace("8080", "-1").replace("[log]", "[lag]"))
    code, printed = run(capsys, "config", "check", bad, "--json")
    assert code == 1
    assert {f["path"] for f in json.loads(printed.out)} == {"lag", "node.http_port"}


def test_contract_commands_hide_the_token(capsys, http, store, files):
    apply = [
        "contract",
        "apply",
        files / "contract.toml",
        *STORE_OPTIONS,
        "--who",
        "mari",
    ]
    assert run(capsys, *apply)[1].out == "Contract treipuu applied as version 1.\n"
    assert "already in force" in run(capsys, *apply)[1].out
    outputs = [
        run(capsys, *command, *STORE_OPTIONS, *output_options)
        for command in (
            ["contract", "show", "treipuu"],
            ["contract", "list"],
            ["contract", "history", "treipuu"],
            ["audit"],
        )
        for output_options in ([], ["--json"])
    ]
    assert all(code == 0 for code, _ in outputs)
    assert all("treipuu" in printed.out for _, printed in outputs)
    assert not any("secret-token" in printed.out for _, printed in outputs)
    assert "mari" in outputs[-1][1].out


def test_contract_apply_reports_every_fault(capsys, http, store, files):
    text = CONTRACT.replace("URGENT", "HIGH").replace("in_flight = 4", "")
    (files / "contract.toml").write_text(text)
    code, printed = run(
        capsys, "contract", "apply", files / "contract.toml", *STORE_OPTIONS
    )
    assert code == 1
    assert "tiers.work-order" in printed.err
    assert "limits.in_flight is missing" in printed.err


def test_conflict_and_outage_have_distinct_exit_codes(capsys, http, store, files):
    apply = ["contract", "apply", files / "contract.toml", *STORE_OPTIONS, "--json"]
    code, printed = run(capsys, *apply, "--expect-version", 3)
    assert (code, json.loads(printed.err)["code"]) == (3, "VERSION_CONFLICT")
    store.faults = ["unreachable"] * 99
    code, printed = run(capsys, *apply)
    assert (code, json.loads(printed.err)["code"]) == (4, "STORE_UNAVAILABLE")


def test_backend_server_joins_leaves_and_stops(capsys, http, store, files):
    join = ["backend", "join", files / "backend.toml", *STORE_OPTIONS]
    assert "is now JOINING" in run(capsys, *join)[1].out
    assert "was already JOINING" in run(capsys, *join)[1].out
    leave = ["backend", "leave", "engine-1", *STORE_OPTIONS]
    assert "is now LEAVING (version 2)" in run(capsys, *leave)[1].out
    stop = ["backend", "stop", "engine-1", *STORE_OPTIONS]
    assert "is now STOPPING (version 3)" in run(capsys, *stop)[1].out
    assert "was already STOPPING" in run(capsys, *leave)[1].out
    assert "STOPPING" in run(capsys, "backend", "list", *STORE_OPTIONS)[1].out
    assert "is now JOINING (version 4)" in run(capsys, *join)[1].out


LOG_LINES = """\
{"time":"2026-12-04T10:00:02.000+00:00","event":"ended","id":"a1","key":"order-17"}
fireflyquay says {"time":"2026-12-04T10:00:01.000+00:00","event":"granted","id":"a1"}
{"time":"2026-12-04T10:00:01.500+00:00","event":"store lost"}
{"time":"2026-12-04T10:00:01.600+00:00","event":"ended","id":"b2"}
{"time":"2026-12-04T10:00:09.000+00:00","event":"store regained"}
not a line
"""


def test_trace_prints_lines_of_an_id_or_key_in_time_order(capsys, tmp_path):
    first, second = tmp_path / "one.log", tmp_path / "two.log"
    first.write_text(LOG_LINES)
    second.write_text(
        LOG_LINES.replace("10:00:02", "10:00:00").replace("ended", "late")
    )
    for name in ("a1", "order-17"):
        code, printed = run(capsys, "trace", name, first, second, "--json")
        assert code == 0
        events = [line["event"] for line in json.loads(printed.out)]
        assert events == ["late", "granted", "granted", "ended"]
        assert "2 lines are not valid log lines" in printed.err


def test_trace_around_adds_nearby_lines_without_request_ids(capsys, tmp_path):
    log = tmp_path / "one.log"
    log.write_text(LOG_LINES)
    code, printed = run(capsys, "trace", "a1", log, "--around", "1")
    assert (code, printed.out.count("\n")) == (0, 3)
    assert "store lost" in printed.out
    assert "b2" not in printed.out


def test_trace_accepts_fields_of_any_type(capsys, tmp_path):
    log = tmp_path / "one.log"
    odd = '{"time":"2026-12-04T10:00:00+00:00","id":"a1","left_out":"many","event":7}'
    log.write_text(odd + "\n")
    code, printed = run(capsys, "trace", "a1", log)
    assert (code, printed.out.count("\n")) == (0, 1)


def test_trace_of_an_unknown_request_fails(capsys, tmp_path):
    log = tmp_path / "one.log"
    log.write_text(LOG_LINES)
    code, printed = run(capsys, "trace", "c3", log)
    assert code == 1
    assert "NOT_FOUND" in printed.err


def test_status_fails_when_an_entry_vm_does_not_respond(capsys, http):
    http.responses["10.0.0.1", "/v1/status"] = make_response({"backends": {"READY": 3}})
    code, printed = run(capsys, "status", *ENTRY_OPTIONS)
    assert code == 4
    assert "READY 3" in printed.out
    assert "10.0.0.2:80 no answer" in printed.out
    http.responses["/v1/status"] = make_response({})
    assert run(capsys, "status", *ENTRY_OPTIONS, "--json")[0] == 0


def test_request_prints_the_output_and_exits_by_verdict(capsys, http):
    target = "/v1/requests/label"
    send = ["request", "label", "--prompt", "a", *ENTRY_OPTIONS]
    http.responses[target] = make_response({"verdict": "RAN", "output": {"text": "x"}})
    assert run(capsys, *send)[1].out == '{"text":"x"}\n'
    failure = {"code": "STREAM_LOST", "verdict": "MAY_HAVE_RUN", "sentence": "s"}
    http.responses[target] = make_response(failure, 502)
    code, printed = run(capsys, *send, "--json")
    assert (code, json.loads(printed.err)["verdict"]) == (5, "MAY_HAVE_RUN")
    rejection = {"code": "BAD_REQUEST", "verdict": "NOT_RUN", "sentence": "s"}
    http.responses[target] = make_response(rejection, 400)
    assert run(capsys, *send)[0] == 1
    http.responses.clear()
    assert run(capsys, *send)[0] == 4


def test_request_prints_streamed_tokens(capsys, http):
    body = b'event: token\ndata: {"index": 0, "text": "a"}\n\n'
    body += b'event: done\ndata: {"verdict": "RAN"}\n\n'
    http.responses["/v1/requests/label"] = FakeResponse(200, body)
    send = ["request", "label", "--prompt", "a", "--stream", *ENTRY_OPTIONS]
    assert run(capsys, *send)[1].out == "a\n"
    assert json.loads(run(capsys, *send, "--json")[1].out) == {"index": 0, "text": "a"}


def test_config_check_validates_gateway_settings(tmp_path, capsys):
    example = EXAMPLE.with_name("gateway.toml")
    assert main(["config", "check", "--gateway", str(example)]) == 0
    bad = tmp_path / "bad.toml"
    bad.write_text(example.read_text().replace("revoke = 5.0", 'revoke = "soon"'))
    assert main(["config", "check", "--gateway", str(bad)]) == 1
    assert "promises.revoke" in capsys.readouterr().out
