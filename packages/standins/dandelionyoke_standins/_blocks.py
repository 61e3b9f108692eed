"""An engine's KV cache: blocks in use, cached prefixes and cache events."""

import random
from collections import Counter, OrderedDict, deque
from collections.abc import Iterable, Sequence
from typing import Literal

import attrs

MAX_EVENTS = 4096


@attrs.frozen
class CacheEvent:
    """A prefix block was stored in the cache or removed from it."""

    sequence: int
    kind: Literal['stored', 'removed']
    block: str


@attrs.frozen
class CacheEvents:
    """The retained events after a requested sequence number.

    If `first` is greater than the requested number plus one, the events in
    between were lost.
    """

    first: int
    next: int
    events: tuple[CacheEvent, ...]


@attrs.frozen
class CacheEventSettings:
    """The delay of cache events and the probability of losing some."""

    lag_s: float = 0.5
    gap_share: float = 0.005


class CacheEventLog:
    """A log that publishes cache events late and with gaps."""

    def __init__(
        self, settings: CacheEventSettings, rng: random.Random
    ) -> None:
        self._settings = settings
        self._rng = rng
        self._events: deque[tuple[float, CacheEvent]] = deque()
        self._next_sequence = 1

    def append(
        self, kind: Literal['stored', 'removed'], block: str, now_s: float
    ) -> None:
        """Append an event, losing all earlier ones at random (`gap_share`)."""
        loses_events = self._rng.random() < self._settings.gap_share
        if loses_events:
            self._events.clear()
        if len(self._events) >= MAX_EVENTS:
            self._events.popleft()
        event = CacheEvent(self._next_sequence, kind, block)
        self._events.append((now_s, event))
        self._next_sequence += 1

    def after(self, sequence: int, now_s: float) -> CacheEvents:
        """Return the published events after a sequence number."""
        visible_until_s = now_s - self._settings.lag_s
        visible = [
            event for at_s, event in self._events if at_s <= visible_until_s
        ]
        hidden_events = len(self._events) - len(visible)
        next_sequence = self._next_sequence - hidden_events
        new_events = tuple(
            event for event in visible if event.sequence > sequence
        )
        first = new_events[0].sequence if new_events else next_sequence
        return CacheEvents(first, next_sequence, new_events)


class BlockPool:
    """The KV blocks of an engine.

    A prefix block has an id and may be shared by several attempts. Without
    references it stays cached until memory is needed; the least recently
    used block is evicted first. A private block belongs to one attempt.
    """

    def __init__(self, total_blocks: int, log: CacheEventLog) -> None:
        self.total_blocks = total_blocks
        self._event_log = log
        self._cached: OrderedDict[str, None] = OrderedDict()
        self._reference_counts: Counter[str] = Counter()
        self._private_blocks = 0

    @property
    def used_blocks(self) -> int:
        """Number of blocks in use by attempts, which can't be evicted."""
        return len(self._reference_counts) + self._private_blocks

    @property
    def free_blocks(self) -> int:
        """Number of blocks available, including cached ones to evict."""
        return self.total_blocks - self.used_blocks

    def cached_prefix(self, block_ids: Sequence[str]) -> tuple[str, ...]:
        """Return the longest leading run of ids that are in memory."""
        for position, block_id in enumerate(block_ids):
            if (
                block_id not in self._cached
                and block_id not in self._reference_counts
            ):
                return tuple(block_ids[:position])
        return tuple(block_ids)

    def pin(self, block_ids: Iterable[str]) -> None:
        """Add a reference to prefix blocks, so that they aren't evicted."""
        for block_id in block_ids:
            self._cached.pop(block_id, None)
            self._reference_counts[block_id] += 1

    def unpin(self, block_ids: Iterable[str]) -> None:
        """Drop a reference; blocks without references become evictable."""
        for block_id in reversed(tuple(block_ids)):
            self._reference_counts[block_id] -= 1
            if not self._reference_counts[block_id]:
                self._reference_counts.pop(block_id)
                self._cached[block_id] = None

    def allocate(self, count: int, now_s: float) -> bool:
        """Allocate private blocks, evicting cached ones; all or none."""
        if count > self.free_blocks:
            return False
        self._private_blocks += count
        self._evict(now_s)
        return True

    def free(self, count: int) -> None:
        """Free private blocks."""
        self._private_blocks -= count

    def publish(self, block_ids: Iterable[str], now_s: float) -> None:
        """Turn private blocks into prefix blocks with one more reference."""
        for block_id in block_ids:
            self._private_blocks -= 1
            is_new = (
                block_id not in self._reference_counts
                and block_id not in self._cached
            )
            self.pin((block_id,))
            if is_new:
                self._event_log.append('stored', block_id, now_s)

    def add_cached(self, block_ids: Iterable[str], now_s: float) -> None:
        """Store blocks from another engine in the cache."""
        for block_id in block_ids:
            if (
                block_id not in self._reference_counts
                and block_id not in self._cached
            ):
                self._cached[block_id] = None
                self._event_log.append('stored', block_id, now_s)
        self._evict(now_s)

    def clear(self, now_s: float) -> None:
        """Evict all cached blocks; no block may be in use."""
        while self._cached:
            self._evict_one(now_s)

    def _evict(self, now_s: float) -> None:
        while self.used_blocks + len(self._cached) > self.total_blocks:
            self._evict_one(now_s)

    def _evict_one(self, now_s: float) -> None:
        block_id, _ = self._cached.popitem(last=False)
        self._event_log.append('removed', block_id, now_s)
