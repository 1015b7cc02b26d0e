"""Streams and prefix cache of the engine stand-in."""

from __future__ import annotations

import asyncio
from collections import Counter, OrderedDict
from dataclasses import dataclass, field
from enum import StrEnum

from .answers import count_output_tokens, make_tokens


class StreamState(StrEnum):
    """List the states of a stream."""

    RUNNING = "RUNNING"
    FINISHED = "FINISHED"
    CANCELLED = "CANCELLED"
    LOST = "LOST"


@dataclass(slots=True)
class Execution:
    """Record the cost of one run; kept when the engine crashes."""

    key: str
    attempt: int
    kind: str
    prefill_computed: int = 0
    output_tokens: int = 0
    state: StreamState = StreamState.RUNNING


@dataclass(frozen=True, slots=True)
class Chunk:
    """Represent one part of the output."""

    # Position among the chunks of the stream, from 0.
    index: int
    text: str
    # Number of output tokens in this chunk.
    tokens: int


@dataclass(slots=True)
class EngineStream:
    """Track the progress of one stream."""

    execution: Execution
    body: bytes
    prefix_hash: str
    prompt_tokens: int
    output_tokens: int
    # Prompt tokens that are not cached.
    prefill_tokens: int = 0
    # Part of prefill_tokens that is not computed yet.
    prefill_remaining: float = 0.0
    # Output tokens decoded so far; a step may end within a token.
    decoded_tokens: float = 0.0
    chunks: list[Chunk] = field(default_factory=list)
    # Set, and replaced by a new event, at each change.
    change_event: asyncio.Event = field(default_factory=asyncio.Event)

    @classmethod
    def make(
        cls,
        execution: Execution,
        body: bytes,
        prefix_hash: str,
        prompt_tokens: int,
        max_tokens: int,
    ) -> EngineStream:
        """Make a stream whose output depends only on key, body and token limit."""
        count = count_output_tokens(execution.key, body, max_tokens)
        return cls(execution, body, prefix_hash, prompt_tokens, count)

    @property
    def is_running(self) -> bool:
        """Return whether the stream has not ended."""
        return self.execution.state is StreamState.RUNNING

    def end(self, state: StreamState) -> None:
        """End the stream in the given state and wake its reader."""
        self.execution.state = state
        self.notify_reader()

    def notify_reader(self) -> None:
        """Wake the task that sends the stream to the client."""
        change_event, self.change_event = self.change_event, asyncio.Event()
        change_event.set()

    def decode(self, tokens: float, chunk_tokens: int) -> None:
        """Decode tokens and emit all complete chunks."""
        self.decoded_tokens = min(self.decoded_tokens + tokens, self.output_tokens)
        whole = int(self.decoded_tokens)
        emitted = self.execution.output_tokens
        while whole - emitted >= chunk_tokens or (
            whole == self.output_tokens > emitted
        ):
            last = min(emitted + chunk_tokens, whole)
            self._add_chunk(emitted, last)
            emitted = last
        self.execution.output_tokens = emitted

    def _add_chunk(self, first: int, last: int) -> None:
        text = make_tokens(self.execution.key, self.body, first, last)
        self.chunks.append(Chunk(len(self.chunks), text, last - first))
        self.notify_reader()


class PrefixCache:
    """Cache the token counts of prefixes; evict the least recently used ones."""

    def __init__(self) -> None:
        self.tokens = 0
        self._prefixes: OrderedDict[str, int] = OrderedDict()

    def get_cached_tokens(self, prefix_hash: str) -> int:
        """Return the number of cached tokens of a prefix."""
        if prefix_hash not in self._prefixes:
            return 0
        self._prefixes.move_to_end(prefix_hash)
        return self._prefixes[prefix_hash]

    def add(self, prefix_hash: str, tokens: int, capacity: int) -> None:
        """Cache a prefix and evict others to stay within `capacity`."""
        if not prefix_hash:
            return
        self.tokens += tokens - self._prefixes.pop(prefix_hash, 0)
        self._prefixes[prefix_hash] = tokens
        while self.tokens > capacity:
            self.tokens -= self._prefixes.popitem(last=False)[1]


def count_wasted_prefill(executions: list[Execution]) -> int:
    """Return the prefill tokens of ended runs, except each key's first finished run."""
    wasted: Counter[str] = Counter()
    useful: dict[str, int] = {}
    for run in executions:
        if run.state is StreamState.RUNNING:
            continue
        wasted[run.key] += run.prefill_computed
        if run.state is StreamState.FINISHED:
            useful.setdefault(run.key, run.prefill_computed)
    return wasted.total() - sum(useful.values())
