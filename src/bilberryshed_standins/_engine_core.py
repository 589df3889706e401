"""A model engine without I/O: continuous batching, priorities, a bounded prefix cache.

Time advances in steps. In one step, the engine prefills prompts, up to a number of tokens, and
generates one token for each sequence whose prompt is prefilled. The text is a function of the
prompt, so that a resumed response continues exactly as the first one would have.
"""

import heapq
from collections.abc import Iterator
from dataclasses import dataclass, field

import xxhash

BLOCK_BYTES = 256  # bytes of a prompt in one cache block
BYTES_PER_TOKEN = 4
WORDS = ("salt", "grit", "road", "plough", "drift", "thaw", "lamp", "lane", "porch", "wire")


@dataclass(slots=True, frozen=True)
class EngineLimits:
    """Speed and capacity of an engine.

    :param slots: maximum number of concurrent sequences
    :param prefill: prompt tokens prefilled in one step
    :param cache_blocks: capacity of the prefix cache, in blocks
    """

    slots: int = 16
    prefill: int = 512
    cache_blocks: int = 512


@dataclass(slots=True)
class Sequence:
    """One request inside the engine.

    :param generated: tokens generated so far
    :param prefill_remaining: prompt tokens that are not prefilled yet
    :param finish_reason: why the sequence ended, empty while it runs
    """

    request: str
    prompt: bytes
    max_tokens: int
    priority: int
    generated: int = 0
    prefill_remaining: int = 0
    finish_reason: str = ""

    @property
    def prompt_tokens(self) -> int:
        """Number of tokens of the prompt."""
        return count_tokens(self.prompt)


@dataclass(slots=True, frozen=True)
class Generated:
    """Result of one step for one sequence.

    :param text: next token of the response, empty if the sequence was cancelled
    :param finish_reason: why the sequence ended, empty while it runs
    """

    sequence: Sequence
    text: str
    finish_reason: str


@dataclass(slots=True, frozen=True)
class CacheEvent:
    """A block that was stored in or evicted from the prefix cache."""

    number: int
    block: int
    stored: bool


@dataclass(slots=True)
class EngineCore:
    """State of one engine.

    :param waiting: heap of priority, arrival number and sequence
    :param cache: hashes of cached blocks, least recently used first
    """

    limits: EngineLimits
    running: list[Sequence] = field(default_factory=list)
    waiting: list[tuple[int, int, Sequence]] = field(default_factory=list)
    arrivals: int = 0
    cache: dict[int, None] = field(default_factory=dict)
    events: list[CacheEvent] = field(default_factory=list)
    cached_tokens_total: int = 0
    prompt_tokens_total: int = 0

    def submit(self, sequence: Sequence) -> None:
        """Queue a sequence by priority, then by arrival."""
        self.arrivals += 1
        heapq.heappush(self.waiting, (sequence.priority, self.arrivals, sequence))

    def cancel(self, request: str) -> bool:
        """Cancel a running or waiting sequence.

        :returns: whether it was found
        """
        for sequence in [*self.running, *(entry[2] for entry in self.waiting)]:
            if sequence.request == request and not sequence.finish_reason:
                sequence.finish_reason = "cancelled"
                return True
        return False

    def step(self) -> list[Generated]:
        """Execute one step and return its results."""
        self._admit()
        prefill_budget = self.limits.prefill
        results: list[Generated] = []
        for sequence in self.running:
            if sequence.finish_reason:
                results.append(Generated(sequence, "", sequence.finish_reason))
                continue
            if sequence.prefill_remaining > 0:
                prefilled = min(prefill_budget, sequence.prefill_remaining)
                sequence.prefill_remaining -= prefilled
                prefill_budget -= prefilled
            if sequence.prefill_remaining == 0:
                results.append(self._generate(sequence))
        self.running = [s for s in self.running if not s.finish_reason]
        return results

    @property
    def idle(self) -> bool:
        """Whether there is no sequence to run."""
        return not self.running and not self.waiting

    def _admit(self) -> None:
        while self.waiting and len(self.running) < self.limits.slots:
            sequence = heapq.heappop(self.waiting)[2]
            sequence.prefill_remaining = self._count_uncached(sequence)
            self.running.append(sequence)

    def _count_uncached(self, sequence: Sequence) -> int:
        blocks = tuple(prefix_blocks(sequence.prompt))
        hits = 0
        while hits < len(blocks) and blocks[hits] in self.cache:
            hits += 1
        self._store(blocks)
        cached = min(sequence.prompt_tokens, hits * BLOCK_BYTES // BYTES_PER_TOKEN)
        self.cached_tokens_total += cached
        self.prompt_tokens_total += sequence.prompt_tokens
        return sequence.prompt_tokens - cached

    def _store(self, blocks: tuple[int, ...]) -> None:
        for block in blocks:
            if self.cache.pop(block, 0) is None:
                self.cache[block] = None
                continue
            self.cache[block] = None
            self._record_event(block, True)
        while len(self.cache) > self.limits.cache_blocks:
            oldest = next(iter(self.cache))
            del self.cache[oldest]
            self._record_event(oldest, False)

    def _record_event(self, block: int, stored: bool) -> None:
        self.events.append(CacheEvent(len(self.events) + 1, block, stored))

    def _generate(self, sequence: Sequence) -> Generated:
        text = word_at(sequence.prompt, sequence.generated)
        sequence.generated += 1
        if sequence.generated >= sequence.max_tokens:
            sequence.finish_reason = "length"
        elif _is_last(sequence.prompt, sequence.generated):
            sequence.finish_reason = "stop"
        return Generated(sequence, text, sequence.finish_reason)


def count_tokens(prompt: bytes) -> int:
    """Return the number of tokens of a prompt, at least 1 and at most its bytes."""
    return max(1, -(-len(prompt) // BYTES_PER_TOKEN))


def word_at(prompt: bytes, position: int) -> str:
    """Return the token that is generated for a prompt at a position."""
    digest = xxhash.xxh3_64_intdigest(prompt, seed=position)
    return WORDS[digest % len(WORDS)] + " "


def full_text(prompt: bytes, max_tokens: int) -> str:
    """Return the complete text that is generated for a prompt."""
    words = []
    for position in range(max_tokens):
        words.append(word_at(prompt, position))
        if _is_last(prompt, position + 1):
            break
    return "".join(words)


def prefix_blocks(prompt: bytes) -> Iterator[int]:
    """Yield the hash of the prefix that ends with each complete block."""
    digest = xxhash.xxh3_64()
    for start in range(0, len(prompt) - BLOCK_BYTES + 1, BLOCK_BYTES):
        digest.update(prompt[start : start + BLOCK_BYTES])
        yield digest.intdigest()


def _is_last(prompt: bytes, generated: int) -> bool:
    return generated >= 8 + xxhash.xxh3_64_intdigest(prompt) % 25
