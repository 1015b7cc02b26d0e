"""A model engine's streams and prefix cache in miniature."""

from __future__ import annotations

import asyncio
from collections import Counter, OrderedDict
from dataclasses import dataclass, field
from enum import StrEnum

from .answers import count_output_tokens, make_tokens


class StreamState(StrEnum):
    """Order a stream's life on an engine."""

    RUNNING = "RUNNING"
    FINISHED = "FINISHED"
    CANCELLED = "CANCELLED"
    LOST = "LOST"


@dataclass(slots=True)
class Execution:
    """Record what one run cost; survives crashes."""

    key: str
    attempt: int
    kind: str
    prefill_computed: int = 0
    output_tokens: int = 0
    state: StreamState = StreamState.RUNNING


@dataclass(frozen=True, slots=True)
class Chunk:
    """Hold a part of the answer."""

    # Counts the chunks of one answer from 0.
    index: int
    text: str
    # Output tokens in this chunk.
    tokens: int


@dataclass(slots=True)
class EngineStream:
    """Hold one stream and its progress."""

    execution: Execution
    body: bytes
    prefix_hash: str
    prompt_tokens: int
    output_tokens: int
    # Prompt tokens that the cache does not hold.
    prefill_tokens: int = 0
    # Of these, still to be computed.
    prefill_remaining: float = 0.0
    # Output tokens decoded, in fractions between steps.
    decoded_tokens: float = 0.0
    chunks: list[Chunk] = field(default_factory=list)
    # Set anew at each change.
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
        """Make a stream whose answer follows from key and body."""
        count = count_output_tokens(execution.key, body, max_tokens)
        return cls(execution, body, prefix_hash, prompt_tokens, count)

    @property
    def is_running(self) -> bool:
        """Tell whether the stream has not ended."""
        return self.execution.state is StreamState.RUNNING

    def end(self, state: StreamState) -> None:
        """End the stream and wake its reader."""
        self.execution.state = state
        self.notify_reader()

    def notify_reader(self) -> None:
        """Wake the stream's reader."""
        change_event, self.change_event = self.change_event, asyncio.Event()
        change_event.set()

    def decode(self, tokens: float, chunk_tokens: int) -> None:
        """Decode some tokens and cut whole chunks off them."""
        self.decoded_tokens = min(self.decoded_tokens + tokens, self.output_tokens)
        done = int(self.decoded_tokens)
        told = self.execution.output_tokens
        while done - told >= chunk_tokens or (done == self.output_tokens > told):
            last = min(told + chunk_tokens, done)
            self._add_chunk(told, last)
            told = last
        self.execution.output_tokens = told

    def _add_chunk(self, first: int, last: int) -> None:
        text = make_tokens(self.execution.key, self.body, first, last)
        self.chunks.append(Chunk(len(self.chunks), text, last - first))
        self.notify_reader()


class PrefixCache:
    """Keep prefixes, least recently used out first, bounded by tokens."""

    def __init__(self) -> None:
        self.tokens = 0
        self._prefixes: OrderedDict[str, int] = OrderedDict()

    def get_cached_tokens(self, prefix_hash: str) -> int:
        """Return the cached tokens of a prefix."""
        if prefix_hash not in self._prefixes:
            return 0
        self._prefixes.move_to_end(prefix_hash)
        return self._prefixes[prefix_hash]

    def add(self, prefix_hash: str, tokens: int, max_tokens_cached: int) -> None:
        """Cache a prefix and evict others to stay within the bound."""
        if not prefix_hash:
            return
        self.tokens += tokens - self._prefixes.pop(prefix_hash, 0)
        self._prefixes[prefix_hash] = tokens
        while self.tokens > max_tokens_cached:
            self.tokens -= self._prefixes.popitem(last=False)[1]


def count_wasted_prefill(executions: list[Execution]) -> int:
    """Sum prefill whose answer never finished, or that a key paid for again."""
    wasted: Counter[str] = Counter()
    useful: dict[str, int] = {}
    for run in executions:
        if run.state is StreamState.RUNNING:
            continue
        wasted[run.key] += run.prefill_computed
        if run.state is StreamState.FINISHED:
            useful.setdefault(run.key, run.prefill_computed)
    return wasted.total() - sum(useful.values())
