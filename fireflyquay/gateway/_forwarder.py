"""Forwarder: sends a request to one backend server and relays the response."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Iterator
from contextlib import contextmanager
from dataclasses import replace

import logbook

from fireflyquay.dispatch import BEGINNING_SECONDS, MachineReading, SlotRequest
from fireflyquay.links import (
    BackendClient,
    BackendExchange,
    ExchangeOptions,
    HttpFailure,
    HttpStream,
)
from fireflyquay.unexpected_errors import UnexpectedErrors
from fireflyquay.world import AttemptId, BackendEntry, Code, RepeatRule

from ._backend_paths import BackendPaths, Finding
from ._call import Call, Outcome, fingerprint_request
from ._dialect import BrokenResponseError, EventReader, ResponseMetadata
from ._gateway_metrics import GatewayMetrics
from ._quarantine import Quarantine
from ._slot_client import RunResult, SlotClient
from ._stop_guard import StopGuard

LOG = logbook.Logger("forwarder")

# Seconds for which a backend server may be silent until its path is examined, and until
# a request that may be repeated is given up where the path is down.
EXAMINED_SILENCE_SECONDS = 0.4
MAX_SILENCE_SECONDS = 0.7
# Seconds that a reused connection may have been idle. Requests that aren't idempotent
# use more recently active connections, because they can't be repeated if the peer
# closes the connection while they are being sent.
MAX_IDLE_IDEMPOTENT_SECONDS = 3.0
MAX_IDLE_NON_IDEMPOTENT_SECONDS = 1.0
# Larger responses are forwarded while they arrive instead of being buffered whole.
MAX_BUFFERED_BYTES = 256 * 1024
# Statuses that tell the client that the request has not run.
NOT_RUN_STATUSES = (408, 421, 429, 503)
BAD_GATEWAY = 502
EVENT_STREAM = "text/event-stream"
MISDIRECTED = 421
UNAVAILABLE = 503
# Outcomes that don't count as a failure of the backend server, unless the status of its
# response is 500 or above.
HEALTHY_OUTCOMES = (
    Outcome.DELIVERED,
    Outcome.NOT_RUN,
    Outcome.NOT_SENT,
    Outcome.UNSENDABLE,
)
# What a broken response tells of the backend server's software; nothing if its path is
# down.
RESULTS_BY_FINDING = {
    Finding.REACHABLE: RunResult.FAULTY,
    Finding.SERVER_DOWN: RunResult.CRASHED,
}
# Seconds without new requests for a backend server that closes new connections, and
# for one that declines a request.
CLOSED_PAUSE_SECONDS = 0.5
DECLINED_PAUSE_SECONDS = 0.1


class Forwarder:
    """Forward requests to backend servers, one attempt at a time."""

    def __init__(
        self,
        client: BackendClient,
        paths: BackendPaths,
        slot_client: SlotClient,
        quarantine: Quarantine,
        metrics: GatewayMetrics,
        stop_guard: StopGuard,
        errors: UnexpectedErrors | None = None,
    ) -> None:
        self.errors = errors or UnexpectedErrors()
        self.client = client
        self.paths = paths
        self.stop_guard = stop_guard
        self.slot_client = slot_client
        self.quarantine = quarantine
        self._crash_checks: set[asyncio.Task[None]] = set()
        self.metrics = metrics

    async def attempt(
        self, call: Call, slot_request: SlotRequest, backend: BackendEntry
    ) -> Outcome:
        """Send a call to a backend server and release its slot at the end."""
        call.crash_check = None
        attempt = _Attempt(self, call, slot_request, backend)
        failed, is_wasted = True, True
        loop = asyncio.get_running_loop()
        started_at, is_resumed = loop.time(), bool(call.last_event_id)
        try:
            outcome = await attempt.execute()
            is_success = outcome is Outcome.DELIVERED and 200 <= attempt.status < 300
            with self.errors.contain("record of an attempt", id=attempt.id):
                self.metrics.record_attempt(call.service, outcome.value)
                if is_success and not is_resumed:
                    self.stop_guard.record_run(call, loop.time() - started_at)
            is_wasted = outcome not in HEALTHY_OUTCOMES
            failed = is_wasted or attempt.status >= 500
            attempt.result = _classify(outcome, attempt.status)
            if attempt.was_broken_off:
                call.crash_check = self._start_crash_check(attempt)
            return outcome
        except asyncio.CancelledError:
            failed = False
            raise
        finally:
            if is_wasted and slot_request.prompt_tokens:
                with self.errors.contain("record of a wasted prefill", id=attempt.id):
                    self.metrics.record_wasted_prefill(
                        call.service, slot_request.prompt_tokens
                    )
            if call.crash_check is None:
                attempt.release(failed)

    async def close(self) -> None:
        """Cancel the crash checks in progress."""
        tasks = tuple(self._crash_checks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _start_crash_check(self, attempt: _Attempt) -> asyncio.Task[None]:
        """Find out why a connection broke, then release the slot."""
        task = asyncio.get_running_loop().create_task(attempt.check_crash())
        self._crash_checks.add(task)
        task.add_done_callback(self._crash_checks.discard)
        return task


class _Attempt:
    """Make one attempt at a backend server."""

    def __init__(
        self,
        forwarder: Forwarder,
        call: Call,
        slot_request: SlotRequest,
        backend: BackendEntry,
    ) -> None:
        self._client = forwarder.client
        self._paths = forwarder.paths
        self._slot_client = forwarder.slot_client
        self._quarantine = forwarder.quarantine
        self._metrics = forwarder.metrics
        self._stop_guard = forwarder.stop_guard
        self._errors = forwarder.errors
        self._call = call
        self._slot_request = slot_request
        self._backend = backend
        self._exchange = call.exchange
        self._reader: EventReader | None = None
        self.status = 0
        # Loop time just before the request was sent.
        self._sent_at = 0.0
        # How slow the response's head states the machine to be, and the loop time at
        # which it came; None if it states nothing.
        self._stated_slowness: tuple[float, float] | None = None
        # Loop time since which a response or its next part is awaited; None while it
        # is not.
        self._awaiting_since: float | None = None
        # Number of stream events so far.
        self.event_count = 0
        # Loop times of the first and the last output of this attempt.
        self._first_output_at: float | None = None
        self._last_output_at: float | None = None
        self._was_sound = False
        # What the run tells of the backend server's software.
        self.result = RunResult.UNKNOWN
        # Whether the connection ended before the response did, and after how many
        # seconds from the first output; None without output.
        self.was_broken_off = False
        self._seconds_of_output: float | None = None
        # In seconds, within this attempt only.
        self.longest_gap = 0.0

    @property
    def id(self) -> AttemptId:
        """Return the id of the client's attempt."""
        return self._call.metadata.attempt_id

    async def execute(self) -> Outcome:
        """Send the request and relay the response to the client."""
        call = self._call
        loop = asyncio.get_running_loop()
        self._sent_at = loop.time()
        account = call.admission.account
        upstream = self._exchange.make_upstream_request(
            self._backend,
            None if account is None else account.id,
            call.deadline_at - loop.time(),
            call.last_event_id,
        )
        try:
            response = self._client.forward(
                self._backend.address,
                upstream.method,
                upstream.target,
                upstream.headers,
                upstream.body,
                max(0.0, call.deadline_at - loop.time()),
                self._make_exchange_options(),
            )
            self._awaiting_since = loop.time()
            with self._watch_path(response):
                async with response as stream:
                    return await self._forward_response(stream)
        except HttpFailure as failure:
            if failure.code is Code.BAD_REQUEST:
                return self._log_failure(Outcome.UNSENDABLE, failure.sentence)
            if failure.sent and failure.code is Code.STREAM_LOST:
                self._record_break()
            return self._handle_failure(failure.sentence, failure.sent)
        except BrokenResponseError as broken:
            self._record_break()
            return self._handle_failure(str(broken), True)

    def _record_break(self) -> None:
        self.was_broken_off = True
        self._seconds_of_output = self._compute_seconds_of_output()

    def _compute_seconds_of_output(self) -> float | None:
        if self._first_output_at is None:
            return None
        return asyncio.get_running_loop().time() - self._first_output_at

    @contextmanager
    def _watch_path(self, exchange: BackendExchange) -> Iterator[None]:
        """Interrupt an exchange that may be repeated if its path goes down."""
        if self._call.admission.route.repeat_rule is RepeatRule.AT_MOST_ONCE:
            yield
            return
        watch = asyncio.ensure_future(self._interrupt_if_down(exchange))
        try:
            yield
        finally:
            watch.cancel()

    async def _interrupt_if_down(self, exchange: BackendExchange) -> None:
        loop, address = asyncio.get_running_loop(), self._backend.address
        while True:
            await asyncio.sleep(EXAMINED_SILENCE_SECONDS)
            since = self._awaiting_since
            if since is None or not exchange.is_direct:
                continue
            heard_at = max(since, self._paths.get_heard_at(address))
            if loop.time() - heard_at < EXAMINED_SILENCE_SECONDS:
                continue
            finding = await self._paths.examine(address)
            if finding is not Finding.PATH_DOWN or self._awaiting_since != since:
                continue
            await asyncio.sleep(heard_at + MAX_SILENCE_SECONDS - loop.time())
            if self._awaiting_since == since:
                exchange.interrupt()
                return

    async def _read_chunks(self, stream: HttpStream) -> AsyncIterator[bytes]:
        loop, chunks = asyncio.get_running_loop(), aiter(stream)
        while True:
            self._awaiting_since = loop.time()
            try:
                chunk = await anext(chunks)
            except StopAsyncIteration:
                return
            finally:
                self._awaiting_since = None
            self._paths.record_contact(self._backend.address)
            yield chunk

    def release(self, failed: bool) -> None:
        """Release the slot; ``failed`` counts against the backend server."""
        self._slot_client.release(
            self._slot_request,
            self._backend.id,
            self.event_count,
            self.longest_gap,
            failed,
            self.result,
            asyncio.get_running_loop().time() - self._sent_at,
            self._make_reading(),
        )

    def _make_reading(self) -> MachineReading | None:
        if self._stated_slowness is None:
            return None
        slowness, received_at = self._stated_slowness
        age = asyncio.get_running_loop().time() - received_at
        return MachineReading(slowness, age)

    async def check_crash(self) -> None:
        """Report a crash if nobody can connect to the backend server, and release.

        A run that had been sending output for a while did not cause it.
        """
        finding = Finding.UNKNOWN
        try:
            with self._errors.contain("examination of a path", id=self.id):
                finding = await self._paths.examine(self._backend.address)
        finally:
            self.result = RESULTS_BY_FINDING.get(finding, RunResult.UNKNOWN)
            self.release(finding in (Finding.REACHABLE, Finding.SERVER_DOWN))
        if finding is Finding.SERVER_DOWN:
            with self._errors.contain("record of a crash", id=self.id):
                self._record_crash()

    def _record_crash(self) -> None:
        # The next process may answer before it has registered.
        self._slot_client.pause(self._backend.id, 0.0, True)
        call, seconds = self._call, self._seconds_of_output
        has_just_begun = seconds is None or seconds < BEGINNING_SECONDS
        suspects = call.suspects if has_just_begun else ()
        LOG.warning(
            "backend server crashed",
            extra={
                "id": call.metadata.attempt_id,
                "backend": self._backend.id,
                "fingerprint": fingerprint_request(call),
                "shared_parts": call.metadata.shared_parts,
                "output_seconds": None if seconds is None else round(seconds, 3),
                "suspects": suspects,
            },
        )
        if suspects:
            self._quarantine.record_crash(self._backend, suspects)

    def _make_exchange_options(self) -> ExchangeOptions:
        rule = self._call.admission.route.repeat_rule
        is_idempotent = rule is RepeatRule.IDEMPOTENT
        max_idle = (
            MAX_IDLE_IDEMPOTENT_SECONDS
            if is_idempotent
            else MAX_IDLE_NON_IDEMPOTENT_SECONDS
        )
        return ExchangeOptions(
            connect_timeout=self._stop_guard.compute_connect_timeout(self._call),
            max_idle_seconds=max_idle,
            reuses_connections=self._exchange.identifies_responses,
            matches_request=self._matches_request,
            dialer=self._paths,
        )

    def _matches_request(self, headers: dict[str, str], was_used: bool) -> bool:
        """Return whether a response is to this request.

        One without an id may be another copy of a response to an earlier request on
        the same connection.
        """
        metadata = self._exchange.read_response_metadata(headers)
        if not metadata.attempt_id:
            return not was_used
        return self._is_identified(metadata)

    def _is_identified(self, metadata: ResponseMetadata) -> bool:
        """Return whether a response states that it is to this request."""
        return metadata.attempt_id == self._call.metadata.attempt_id

    def _handle_failure(self, sentence: str, sent: bool) -> Outcome:
        address = self._backend.address
        outcome = Outcome.LOST if sent else Outcome.NOT_SENT
        if self._call.responder.started:
            outcome = Outcome.CUT
        if not sent and self._paths.get_connected_at(address) >= self._sent_at:
            self._slot_client.pause(self._backend.id, CLOSED_PAUSE_SECONDS, True)
        return self._log_failure(outcome, sentence)

    def _log_failure(self, outcome: Outcome, sentence: str) -> Outcome:
        LOG.warning(
            "attempt failed",
            extra={
                "id": self._call.metadata.attempt_id,
                "backend": self._backend.id,
                "outcome": outcome.value,
                "cause": sentence,
                "events": self._reader.event_count if self._reader else 0,
            },
        )
        return outcome

    async def _forward_response(self, stream: HttpStream) -> Outcome:
        self._awaiting_since = None
        self._paths.record_contact(self._backend.address)
        if stream.carrier:
            LOG.info(
                "response through another VM",
                extra={
                    "id": self._call.metadata.attempt_id,
                    "backend": self._backend.id,
                    "carrier": stream.carrier,
                },
            )
        metadata = self._exchange.read_response_metadata(stream.headers)
        self.status = stream.status
        is_success = 200 <= stream.status < 300
        is_declined = self._is_identified(metadata) and (
            metadata.states_not_run or stream.status == MISDIRECTED
        )
        if is_success and not is_declined and not metadata.is_sealed:
            raise BrokenResponseError(
                "The response lacks the seal of a backend server."
            )
        load = metadata.load
        if metadata.is_sealed and load is not None and load.slowness is not None:
            now = asyncio.get_running_loop().time()
            self._stated_slowness = (load.slowness, now)
        is_rejected = is_declined and stream.status == UNAVAILABLE
        self._record_statements(metadata, is_rejected)
        if is_rejected and metadata.rest_seconds is not None:
            rest = metadata.rest_seconds
            self._slot_client.rest(self._backend.id, rest, stream.carrier)
        if is_declined:
            is_full = is_rejected and metadata.rest_seconds is None
            return self._handle_declined(stream.status, is_full)
        if is_success:
            is_stream = self._call.admission.route.is_stream and _may_hold_events(
                stream.headers
            )
            self._reader = self._exchange.open_reader(self._backend, is_stream)
        if self._reader is not None:
            await self._forward_events(stream, self._reader)
            outcome = Outcome.DELIVERED
        else:
            outcome = await self._forward_buffered(stream)
        # A response that ends with its connection may have ended with a crash.
        if is_success and not stream.ends_with_connection:
            self._record_sound_run()
        return outcome

    def _record_statements(self, metadata: ResponseMetadata, is_rejected: bool) -> None:
        rejected = self._slot_request if is_rejected else None
        if metadata.statements or metadata.proves_absence or is_rejected:
            self._slot_client.record_statements(
                self._backend, metadata, self._sent_at, rejected
            )
        if not metadata.statements:
            return
        LOG.info(
            "backend server states its needs",
            extra={
                "id": self._call.metadata.attempt_id,
                "backend": self._backend.id,
                "status": self.status,
                "stated": metadata.statements,
                "limit": metadata.request_limit,
                "max_rejections": metadata.max_rejections,
                "rest": metadata.rest_seconds,
            },
        )

    def _record_sound_run(self) -> None:
        if not self._was_sound:
            self._was_sound = True
            seconds = self._compute_seconds_of_output() or 0.0
            with self._errors.contain("record of a sound run", id=self.id):
                self._quarantine.record_sound(self._call, seconds)

    def _handle_declined(self, status: int, is_full: bool = False) -> Outcome:
        backend_id = self._backend.id
        if is_full:
            self._slot_client.report_rejection(
                self._slot_request, backend_id, DECLINED_PAUSE_SECONDS
            )
        else:
            self._slot_client.pause(backend_id, DECLINED_PAUSE_SECONDS)
        LOG.info(
            "backend server declined",
            extra={
                "id": self._call.metadata.attempt_id,
                "backend": backend_id,
                "status": status,
                "full": is_full,
            },
        )
        return Outcome.NOT_RUN

    async def _forward_buffered(self, stream: HttpStream) -> Outcome:
        body = bytearray()
        async for chunk in self._read_chunks(stream):
            body += chunk
            if len(body) <= MAX_BUFFERED_BYTES:
                continue
            if stream.status in NOT_RUN_STATUSES:
                # Replaced below, so that the client gets none of it.
                body.clear()
                break
            await self._forward_unbuffered(stream, body)
            return Outcome.DELIVERED
        if self._exchange.states_not_run(stream.status, bytes(body)):
            return self._handle_declined(stream.status)
        if stream.ends_with_connection and 200 <= stream.status < 300:
            self._exchange.check_unframed_body(stream.headers, bytes(body))
        self._record_output()
        status, keeps_seal = stream.status, True
        if status in NOT_RUN_STATUSES:
            # The status alone doesn't prove that the request has not run.
            status, keeps_seal = BAD_GATEWAY, False
            extra = {"id": self._call.metadata.attempt_id, "status": stream.status}
            LOG.info("response does not prove that nothing ran", extra=extra)
        response = replace(
            self._exchange.translate_response(
                status, stream.raw_headers, bytes(body), keeps_seal
            ),
            ends_with_connection=stream.ends_with_connection,
        )
        rule = self._call.admission.route.repeat_rule
        if status >= 500 and rule is not RepeatRule.AT_MOST_ONCE:
            self._call.failure_response = response
            return Outcome.FAILED
        self._check_not_begun()
        await self._call.send(response)
        return Outcome.DELIVERED

    def _record_output(self) -> None:
        call, now = self._call, asyncio.get_running_loop().time()
        previous, self._last_output_at = self._last_output_at, now
        if previous is not None:
            self.longest_gap = max(self.longest_gap, now - previous)
            call.longest_gap = max(call.longest_gap, now - previous)
            assert self._first_output_at is not None
            if now - self._first_output_at >= BEGINNING_SECONDS:
                self._record_sound_run()
            return
        self._first_output_at = now
        self._slot_client.record_first_output(
            self._slot_request, self._backend, self._make_reading()
        )
        if call.first_output_at is None:
            call.first_output_at = now
            seconds = now - call.arrived_at
            with self._errors.contain("record of a first output", id=self.id):
                self._metrics.record_first_output(call.admission.route.name, seconds)

    def _check_not_begun(self) -> None:
        """Raise BrokenResponseError if the client has the beginning of a stream."""
        if self._call.responder.started:
            raise BrokenResponseError(
                f"A response with status {self.status} does not continue the stream."
            )

    async def _forward_unbuffered(
        self, stream: HttpStream, buffered: bytearray
    ) -> None:
        self._check_not_begun()
        headers = self._exchange.translate_headers(stream.raw_headers)
        responder = self._call.responder
        await responder.start(stream.status, headers, stream.ends_with_connection)
        await responder.write(bytes(buffered))
        async for chunk in self._read_chunks(stream):
            await responder.write(chunk)
        await responder.finish()

    async def _forward_events(self, stream: HttpStream, reader: EventReader) -> None:
        async for chunk in self._read_chunks(stream):
            events_before = reader.event_count
            complete = reader.feed(chunk)
            if complete or reader.event_count > events_before:
                self._record_output()
                self.event_count = reader.event_count
            if complete:
                await self._write(stream, complete)
                self._call.last_event_id = reader.last_event_id
                self._call.is_inside_event = reader.is_inside_event
        last_bytes = reader.finish()
        if stream.ends_with_connection:
            self._check_unframed_stream(len(last_bytes))
        await self._write(stream, last_bytes)
        await self._call.responder.finish()

    def _check_unframed_stream(self, bytes_after_events: int) -> None:
        """Log a stream that its connection ended; raise BrokenResponseError if empty.

        A stream that continues after the last event may have nothing to add.
        """
        if self._last_output_at is None and not self._call.last_event_id:
            raise BrokenResponseError("The stream ended without an event.")
        LOG.info(
            "response ended with its connection",
            extra={
                "id": self._call.metadata.attempt_id,
                "backend": self._backend.id,
                "events": self._reader.event_count if self._reader else 0,
                "bytes_after_events": bytes_after_events,
            },
        )

    async def _write(self, stream: HttpStream, data: bytes) -> None:
        responder = self._call.responder
        if not responder.started:
            self._call.version = self._backend.version
            # Chunks show the client if this VM ends first; the last event proves
            # whether the stream itself is whole.
            headers = self._exchange.translate_headers(stream.raw_headers)
            await responder.start(stream.status, headers)
        if data:
            await responder.write(data)


def _classify(outcome: Outcome, status: int) -> RunResult:
    """Return what an attempt tells of the backend server's software."""
    if outcome in (Outcome.NOT_RUN, Outcome.NOT_SENT, Outcome.UNSENDABLE):
        return RunResult.NOT_RUN
    is_sound = outcome is Outcome.DELIVERED and 200 <= status < 300
    return RunResult.SOUND if is_sound else RunResult.FAULTY


def _may_hold_events(headers: dict[str, str]) -> bool:
    """Return whether a body is an event stream or of no stated type."""
    media_type = headers.get("content-type", EVENT_STREAM).partition(";")[0]
    return media_type.strip().lower() == EVENT_STREAM
