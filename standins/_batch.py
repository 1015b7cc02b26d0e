"""Continuous batching of the engine stand-in, simulated in short time steps."""

from __future__ import annotations

import msgspec

from ._engine_stream import EngineStream, Execution, PrefixCache, StreamState


class EngineSwitches(msgspec.Struct, forbid_unknown_fields=True):
    """Hold the switches of the engine."""

    # Number of running requests above which each of them slows down.
    capacity: int = 8
    # Tokens per second of each request while the capacity is not exceeded.
    prefill_rate: float = 8000.0
    decode_rate: float = 200.0
    # Output tokens per chunk; the last chunk may be smaller.
    chunk_tokens: int = 8
    # Capacity of the prefix cache in tokens.
    cache_tokens: int = 100_000
    # Share of the prompt tokens that belong to the cacheable prefix.
    prefix_share: float = 0.8
    # Factor by which all requests slow down.
    straggle: float = 1.0
    # Suspends all new requests and running streams.
    frozen: bool = False
    # Rejects new requests without running them.
    refuse: bool = False
    # A body that contains this text crashes the engine; empty to disable.
    crash_marker: str = "CRASH-ENGINE"
    # Seconds for which a crashed engine refuses connections.
    crash_downtime: float = 1.0


class StreamRequest(msgspec.Struct, frozen=True):
    """Represent the body of POST /v1/streams."""

    key: str
    attempt: int
    kind: str
    prompt_tokens: int
    max_tokens: int
    prefix_hash: str
    body: bytes


class Batch:
    """Run all streams concurrently; above the capacity each of them slows down."""

    def __init__(self, switches: EngineSwitches) -> None:
        self._streams: list[EngineStream] = []
        self._switches = switches
        self._cache = PrefixCache()

    def add(self, stream_request: StreamRequest, run: Execution) -> EngineStream:
        """Start a stream; cached tokens of its prompt need no prefill."""
        stream = EngineStream.make(
            run,
            stream_request.body,
            stream_request.prefix_hash,
            stream_request.prompt_tokens,
            stream_request.max_tokens,
        )
        cached = min(
            self._cache.get_cached_tokens(stream_request.prefix_hash),
            self._count_prefix_tokens(stream),
        )
        stream.prefill_tokens = stream.prompt_tokens - cached
        stream.prefill_remaining = float(stream.prefill_tokens)
        self._streams.append(stream)
        return stream

    def abort_streams(self) -> None:
        """End all running streams as lost, as a crash does."""
        for stream in self._list_running():
            stream.end(StreamState.LOST)

    def step(self, elapsed: float) -> bool:
        """Advance by `elapsed` seconds; return False if a body crashes the engine."""
        running = self._list_running()
        if any(self._contains_crash_marker(stream) for stream in running):
            return False
        slowdown = max(1.0, len(running) / self._switches.capacity)
        seconds = elapsed / (slowdown * self._switches.straggle)
        for stream in running:
            self._advance(stream, seconds)
        return True

    def _count_prefix_tokens(self, stream: EngineStream) -> int:
        return int(stream.prompt_tokens * self._switches.prefix_share)

    def _contains_crash_marker(self, stream: EngineStream) -> bool:
        marker = self._switches.crash_marker.encode()
        return bool(marker) and marker in stream.body

    def _advance(self, stream: EngineStream, seconds: float) -> None:
        switches, run = self._switches, stream.execution
        computed = min(stream.prefill_remaining, seconds * switches.prefill_rate)
        if stream.prefill_remaining > 0:
            stream.prefill_remaining -= computed
            run.prefill_computed = stream.prefill_tokens - int(stream.prefill_remaining)
            seconds -= computed / switches.prefill_rate
            if stream.prefill_remaining > 0:
                return
            prefix = self._count_prefix_tokens(stream)
            self._cache.add(stream.prefix_hash, prefix, switches.cache_tokens)
        stream.decode(seconds * switches.decode_rate, switches.chunk_tokens)
        if run.output_tokens == stream.output_tokens:
            stream.end(StreamState.FINISHED)

    def _list_running(self) -> list[EngineStream]:
        self._streams = [stream for stream in self._streams if stream.is_running]
        return list(self._streams)
