"""Emulated clients, which send bursts of requests, time out, disconnect and retry."""

from __future__ import annotations

import asyncio
import math
import random
from collections.abc import Callable, Sequence

import msgspec

from fireflyquay.links import CallerDisconnectedError, HttpRequest

from ._dialect import ErrorBody
from ._history import Attempt, ClientRequest, History
from ._loop import VirtualLoop
from ._network import Network
from ._responder import EmulatedResponder
from ._site import Kind, Site

# A client of a stream disconnects if no event arrives for the longest of three times:
# these seconds, this multiple of the target latency, this multiple of the maximum gap.
MIN_SILENCE_TIMEOUT_SECONDS = 2.0
SILENCE_TIMEOUT_LATENCY_FACTOR = 4.0
SILENCE_TIMEOUT_GAP_FACTOR = 8.0
# Clients wait for the Retry-After time, but at most this share of the time that is left
# until their timeout.
MAX_RETRY_DELAY_SHARE = 1 / 3
# Time for which clients cache the gateway addresses.
ADDRESS_TTL_SECONDS = 2.0
CONNECT_TIMEOUT_SECONDS = 1.0
# HTTP statuses that tell the client that the request has not run.
NOT_RUN_STATUSES = (408, 421, 429, 503)
# Credit of a request as a multiple of its kind's mean: for size 0, and at most. It
# grows linearly with the request's size.
BASE_CREDIT_FACTOR = 0.3
MAX_CREDIT_FACTOR = 4.0
# Approximate: requests are whole numbers, so the drawn mean is slightly higher.
MEAN_BURST_REQUESTS = 2.0
# Number of distinct prompt prefixes of each kind.
PREFIX_COUNT = 40


class GatewayAccess:
    """Look up gateway addresses and request handlers for clients."""

    def __init__(
        self,
        resolve: Callable[[str], Sequence[str] | None],
        find_handler: Callable[[str], Callable | None],
        network: Network,
    ) -> None:
        # Returns the gateway addresses for a zone, or None if no gateway responds.
        self.resolve = resolve
        self.find_handler = find_handler
        self.network = network


class Clients:
    """Send a site's requests and record how they end."""

    def __init__(
        self, site: Site, gateways: GatewayAccess, history: History, rng: random.Random
    ) -> None:
        self._site = site
        self._gateways = gateways
        self._history = history
        self._rng = rng
        self._address_cache: dict[str, tuple[float, Sequence[str]]] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._request_count = 0
        # Current API key of each account.
        self.keys = {f"account-{n}": f"key-{n}" for n in range(site.accounts)}
        # Relative traffic of each account: a few accounts have most of it.
        self._weights = [1.0 / (n + 1) for n in range(site.accounts)]
        # Traffic factor by account; 1 if absent.
        self.account_load_factors: dict[str, float] = {}
        # Previous API key of each account whose key was replaced, and the share of its
        # requests that still use it.
        self.revoked_keys: dict[str, str] = {}
        self.revoked_key_share = 0.0

    async def generate_traffic(self, kind: Kind, seconds: float) -> None:
        """Send requests of a kind in random bursts for some seconds."""
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        while loop.time() - started_at < seconds:
            rate = (
                kind.rate
                * self._site.load
                * self._compute_rate_factor(kind, started_at)
            )
            await asyncio.sleep(self._rng.expovariate(rate / MEAN_BURST_REQUESTS))
            count = 1 + int(self._rng.expovariate(1 / (MEAN_BURST_REQUESTS - 0.5)))
            for _ in range(count):
                self.send(kind)

    def send(
        self, kind: Kind, poison: str = "", shared_parts: tuple[str, ...] = ()
    ) -> ClientRequest:
        """Send a request; with a poison body, it crashes each server that runs it."""
        accounts = list(self.keys)
        weights = [
            weight * self.account_load_factors.get(name, 1.0)
            for name, weight in zip(accounts, self._weights, strict=True)
        ]
        account = self._rng.choices(accounts, weights)[0]
        if poison:
            # Repetitions need the same fingerprint, which includes the account.
            account = accounts[0]
        request = self._draw_request(kind, account)
        request.poison, request.shared_parts = poison, shared_parts
        self._history.requests.append(request)
        loop = asyncio.get_running_loop()
        task = loop.create_task(self._run_request(kind, request))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return request

    def _draw_request(self, kind: Kind, account: str) -> ClientRequest:
        self._request_count += 1
        deviation = self._site.size_deviation
        factor = math.exp(self._rng.gauss(-deviation * deviation / 2, deviation))
        prompt = max(1, round(kind.prompt_tokens * factor)) if kind.is_stream else 0
        events = max(1, round(kind.events * factor)) if kind.is_stream else 0
        credit_factor = BASE_CREDIT_FACTOR + (1 - BASE_CREDIT_FACTOR) * factor
        now = asyncio.get_running_loop().time()
        return ClientRequest(
            self._request_count,
            kind.name,
            account,
            kind.rank,
            now,
            prompt,
            events,
            min(MAX_CREDIT_FACTOR, credit_factor),
        )

    def _compute_rate_factor(self, kind: Kind, started_at: float) -> float:
        elapsed = asyncio.get_running_loop().time() - started_at
        factor = 1.0
        for wave in self._site.waves:
            is_active = wave.start <= elapsed < wave.start + wave.seconds
            if is_active and (not wave.kinds or kind.name in wave.kinds):
                factor *= wave.factor
        return factor

    async def _run_request(self, kind: Kind, request: ClientRequest) -> None:
        loop = asyncio.get_running_loop()
        deadline_at = request.sent_at + kind.client_timeout
        disconnect_at = math.inf
        if self._rng.random() < self._site.disconnect_share:
            disconnect_at = request.sent_at + kind.client_timeout * self._rng.uniform(
                0.05, 0.5
            )
        retries_aggressively = self._rng.random() < self._site.abuser_share
        zone = self._rng.choice(self._site.zones)
        max_retries = kind.max_retries * (4 if retries_aggressively else 1)
        while len(request.attempts) <= max_retries:
            attempt = await self._run_attempt(
                kind, request, zone, min(deadline_at, disconnect_at), deadline_at
            )
            if attempt is None or request.is_served or loop.time() >= disconnect_at:
                break
            delay = _choose_retry_delay(kind, attempt, retries_aggressively)
            remaining = deadline_at - loop.time()
            if delay is None or remaining <= 0:
                break
            await asyncio.sleep(min(delay, MAX_RETRY_DELAY_SHARE * remaining))
        request.ended_at = loop.time()
        if loop.time() >= disconnect_at:
            request.gave_up_at = disconnect_at

    async def _run_attempt(
        self,
        kind: Kind,
        request: ClientRequest,
        zone: str,
        wait_until: float,
        deadline_at: float,
    ) -> Attempt | None:
        loop = asyncio.get_running_loop()
        assert isinstance(loop, VirtualLoop)
        address = await self._choose_address(zone)
        if address is None or loop.time() >= wait_until:
            return None
        host = address.rpartition(":")[0]
        attempt_id = f"{request.number:06d}-{len(request.attempts)}"
        key = self._choose_key(request.account)
        attempt = Attempt(attempt_id, request.number, host, key, loop.time())
        request.attempts.append(attempt)
        responder = EmulatedResponder(loop, self._site.client_delay)
        headers = {
            "id": attempt_id,
            "key": key,
            "timeout": str(deadline_at - loop.time()),
            "prompt": str(request.prompt_tokens),
            "output": str(request.events * self._get_tokens_per_event(kind)),
            "prefix": f"{kind.name}-{request.number % PREFIX_COUNT}",
            "shared": str(kind.shared_tokens),
            "parts": ",".join((*request.shared_parts, str(request.number))),
            "work": str(kind.work),
            "crashes": "1" if request.poison else "0",
            "kind": kind.name,
        }
        path = f"/{kind.name}/0"
        body = (request.poison or str(request.number)).encode()
        http_request = HttpRequest("POST", path, {}, headers, body, path.encode())
        handler = self._gateways.find_handler(host)
        if handler is None or not self._gateways.network.can_reach("clients", host):
            await asyncio.sleep(
                min(CONNECT_TIMEOUT_SECONDS, max(0.0, wait_until - loop.time()))
            )
            attempt.ended_at = loop.time()
            return attempt
        loop.call_later(
            self._site.client_delay,
            loop.call_soon_as,
            host,
            lambda: loop.create_task_as(
                host, _handle_request(handler, http_request, responder)
            ),
        )
        await self._read_response(kind, request, attempt, responder, wait_until)
        return attempt

    def _choose_key(self, account: str) -> str:
        old = self.revoked_keys.get(account)
        if old is not None and self._rng.random() < self.revoked_key_share:
            return old
        return self.keys[account]

    def _get_tokens_per_event(self, kind: Kind) -> int:
        engine = self._site.engines.get(kind.service)
        return 1 if engine is None else engine.tokens_per_event

    async def _read_response(
        self,
        kind: Kind,
        request: ClientRequest,
        attempt: Attempt,
        responder: EmulatedResponder,
        wait_until: float,
    ) -> None:
        """Wait for the end of a response; disconnect after a timeout."""
        loop = asyncio.get_running_loop()
        silence_timeout = max(
            MIN_SILENCE_TIMEOUT_SECONDS,
            SILENCE_TIMEOUT_LATENCY_FACTOR * kind.target_latency,
            SILENCE_TIMEOUT_GAP_FACTOR * kind.max_gap,
        )
        while not responder.finished:
            wait = wait_until - loop.time()
            if kind.is_stream:
                wait = min(wait, silence_timeout)
            responder.updated.clear()
            try:
                async with asyncio.timeout(max(0.0, wait)):
                    await responder.updated.wait()
            except TimeoutError:
                attempt.client_disconnected = True
                responder.disconnected.set()
                break
        await asyncio.sleep(0)
        _record_response(kind, request, attempt, responder, loop.time())

    async def _choose_address(self, zone: str) -> str | None:
        loop = asyncio.get_running_loop()
        cached_at, addresses = self._address_cache.get(zone, (-math.inf, ()))
        if loop.time() - cached_at >= ADDRESS_TTL_SECONDS:
            resolved = self._gateways.resolve(zone)
            if resolved:
                addresses = resolved
                self._address_cache[zone] = (loop.time(), addresses)
        if not addresses:
            await asyncio.sleep(CONNECT_TIMEOUT_SECONDS)
            return None
        return self._rng.choice(list(addresses))


async def _handle_request(
    handler: Callable, http_request: HttpRequest, responder: EmulatedResponder
) -> None:
    try:
        await handler(http_request, responder)
    except CallerDisconnectedError:
        pass
    finally:
        if not responder.is_closed:
            responder.abort()


def _record_response(
    kind: Kind,
    request: ClientRequest,
    attempt: Attempt,
    responder: EmulatedResponder,
    now: float,
) -> None:
    attempt.ended_at = now
    attempt.status = responder.status
    attempt.is_complete = responder.finished and not responder.is_aborted
    times = [at for at, _ in responder.received]
    if times:
        attempt.first_output_at = times[0]
        gaps = [b - a for a, b in zip(times, times[1:], strict=False)]
        attempt.longest_gap = max(gaps, default=0.0)
    if kind.is_stream and attempt.status == 200:
        for _, data in responder.received:
            for line in data.split(b"\n"):
                if line.startswith(b"id:"):
                    attempt.events.append(int(line[3:]))
    elif attempt.status not in (0, 200):
        _record_rejection(attempt, responder)
    if attempt.status == 200 and attempt.is_complete:
        request.is_served = True
        assert attempt.first_output_at is not None
        request.first_output = attempt.first_output_at - request.sent_at
        request.is_on_time = request.first_output <= kind.target_latency and (
            not kind.is_stream or attempt.longest_gap <= kind.max_gap
        )


def _record_rejection(attempt: Attempt, responder: EmulatedResponder) -> None:
    body = b"".join(data for _, data in responder.received)
    try:
        error = msgspec.json.decode(body, type=ErrorBody)
    except msgspec.DecodeError:
        return
    attempt.code, attempt.retry_after = error.code.value, error.retry_after


def _choose_retry_delay(
    kind: Kind, attempt: Attempt, retries_aggressively: bool
) -> float | None:
    """Return the seconds until the client's retry, or None if it doesn't retry."""
    states_not_run = attempt.status in NOT_RUN_STATUSES
    has_no_response = attempt.status == 0 and attempt.first_output_at is None
    is_idempotent = kind.repeat_rule.value == "IDEMPOTENT"
    if not states_not_run and not (
        is_idempotent and (has_no_response or attempt.status >= 500)
    ):
        return None
    if retries_aggressively:
        return 0.02
    return 0.1 if attempt.retry_after is None else attempt.retry_after
