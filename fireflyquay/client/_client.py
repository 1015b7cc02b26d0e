"""Public client of the fleet, with its retry policy."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncGenerator, Callable, Sequence
from contextlib import aclosing
from dataclasses import dataclass
from random import Random, SystemRandom
from typing import Any

import msgspec

from fireflyquay.world import (
    Code,
    FireflyquayError,
    RequestKey,
    Verdict,
    is_valid_request_key,
)

from ._answer import Answer, RequestFailed, Token
from ._attempt import Attempt, OutgoingRequest
from ._directory import EntryDirectory, ListedEntry
from ._health_monitor import EntryHealthMonitor
from ._http_exchange import HttpClient

DEFAULT_TIMEOUT_SECONDS = 60.0
DEFAULT_PROBE_AFTER_SECONDS = 5.0


@dataclass(frozen=True, slots=True)
class RetryBudget:
    """Limit the retries that a client makes after the verdict NOT_RUN."""

    # Attempts per request, including the first one; resends to other entry VMs don't
    # count.
    max_attempts: int = 4
    # Retries that become available per second, over all requests.
    per_second: float = 10.0
    # Maximum number of unused retries.
    burst: float = 100.0
    # Largest random extension of a retry delay, as a share of the delay.
    jitter: float = 0.2


class Client:
    """Send requests to the fleet; repeat one that may have run only if it has a key."""

    def __init__(
        self,
        entries: Sequence[tuple[str, int]],
        token: str,
        http: HttpClient,
        budget: RetryBudget | None = None,
        random: Random | None = None,
        probe_after: float = DEFAULT_PROBE_AFTER_SECONDS,
    ) -> None:
        """Create a client from seed entry VMs, a bearer token and an HTTP client.

        After probe_after seconds without data from an entry VM, its health is checked.
        If the check fails, the connection is treated as lost.
        """
        self._token = token
        self._http = http
        self._directory = EntryDirectory(entries, token, http)
        self._health_monitor = EntryHealthMonitor(http, probe_after)
        self._budget = budget or RetryBudget()
        self._random = random or SystemRandom()
        self._available_retries = self._budget.burst
        # The first refill may be large; it is limited by the burst.
        self._refilled_at = 0.0

    async def request(
        self,
        kind: str,
        body: Any,
        timeout: float = DEFAULT_TIMEOUT_SECONDS,
        key: str | None = None,
    ) -> Answer:
        """Return the complete answer; raise RequestFailed with code and verdict.

        The body is any value that JSON can represent; the timeout is in seconds.
        If the caller passes an idempotency key, the request is resent after a lost
        connection, because entry VMs run each key only once.
        """
        request = self._make_request(kind, body, timeout, key)
        number = 1
        while True:
            attempt = await self._start_attempt(request, number)
            try:
                return await attempt.fetch()
            except RequestFailed as failure:
                await self._wait_before_retry(failure, request, number)
            number += 1

    async def stream(
        self,
        kind: str,
        body: Any,
        timeout: float = DEFAULT_TIMEOUT_SECONDS,
        key: str | None = None,
        note_key: Callable[[RequestKey], None] | None = None,
    ) -> AsyncGenerator[Token, None]:
        """Yield the tokens of the answer; raise RequestFailed as `request` does.

        After the last token, note_key is called with the key of the request. To stop
        early, wrap the generator in contextlib.aclosing.
        """
        request = self._make_request(kind, body, timeout, key)
        number = 1
        while True:
            attempt = await self._start_attempt(request, number)
            started = False
            try:
                async with aclosing(attempt.stream()) as tokens:
                    async for token in tokens:
                        started = True
                        yield token
                if note_key is not None:
                    note_key(attempt.key)
                return
            except RequestFailed as failure:
                if started:
                    raise
                await self._wait_before_retry(failure, request, number)
            number += 1

    async def list_entries(
        self, timeout: float = DEFAULT_TIMEOUT_SECONDS
    ) -> tuple[ListedEntry, ...]:
        """Return the listed entry VMs; raise EntriesUnreachable if there is no list."""
        deadline = asyncio.get_running_loop().time() + timeout
        return await self._directory.get_entries(deadline)

    def _make_request(
        self, kind: str, body: Any, timeout: float, key: str | None
    ) -> OutgoingRequest:
        validate_key(key)
        deadline = asyncio.get_running_loop().time() + timeout
        data = msgspec.json.encode(body)
        return OutgoingRequest(kind, self._token, data, RequestKey(key or ""), deadline)

    async def _start_attempt(self, request: OutgoingRequest, number: int) -> Attempt:
        entries = await self._directory.get_entries(
            request.deadline, refresh=number > 1
        )
        entries = self._rotate_randomly(entries)
        return Attempt(
            self._http, self._directory, request, entries, self._health_monitor
        )

    def _rotate_randomly(
        self, entries: tuple[ListedEntry, ...]
    ) -> tuple[ListedEntry, ...]:
        """Return the entry VMs, rotated so that a random one is first."""
        first = int(self._random.random() * len(entries))
        return entries[first:] + entries[:first]

    async def _wait_before_retry(
        self, failure: RequestFailed, request: OutgoingRequest, number: int
    ) -> None:
        """Sleep until the next attempt may start; raise the failure if none may."""
        delay = compute_retry_delay(failure)
        if delay is None or number >= self._budget.max_attempts:
            raise failure
        delay += delay * self._budget.jitter * self._random.random()
        now = asyncio.get_running_loop().time()
        if now + delay >= request.deadline:
            raise failure
        if not self._try_acquire_retry(now):
            raise failure
        await asyncio.sleep(delay)

    def _try_acquire_retry(self, now: float) -> bool:
        refill = (now - self._refilled_at) * self._budget.per_second
        self._available_retries = min(
            self._budget.burst, self._available_retries + refill
        )
        self._refilled_at = now
        if self._available_retries < 1:
            return False
        self._available_retries -= 1
        return True


def compute_retry_delay(failure: RequestFailed) -> float | None:
    """Return the seconds to wait before a retry, or None if there must be none."""
    if failure.verdict is not Verdict.NOT_RUN:
        return None
    if failure.retry_after is None:
        return None
    return max(0.0, failure.retry_after)


def validate_key(key: str | None) -> None:
    """Raise FireflyquayError with BAD_KEY if the caller's key is invalid."""
    if key is not None and not is_valid_request_key(key):
        raise FireflyquayError(
            Code.BAD_KEY,
            f"The key {key!r} must be 1 to 200 printable ASCII characters, no spaces.",
        )
