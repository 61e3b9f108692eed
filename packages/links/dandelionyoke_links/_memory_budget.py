"""Bounds on the memory that the requests of a process hold together."""

from collections import OrderedDict
from collections.abc import Callable

import attrs

# What a client sends in so many bytes counts as progress.
PROGRESS_BYTES = 65536


class MemoryShortError(Exception):
    """There is no memory for more bytes, and nothing to evict for them."""


@attrs.define(eq=False)
class _Pool:
    """A part of a budget; its evictable reservations, by their last progress."""

    limit_bytes: float
    held_bytes: int = 0
    evictable: 'OrderedDict[Reservation, None]' = attrs.field(
        factory=OrderedDict
    )
    # What may hold more than is left, so that it can be completed.
    borrower: 'Reservation | None' = attrs.field(default=None, repr=False)


@attrs.define(eq=False)
class Reservation:
    """The memory that one request holds, in a pool of its budget.

    `on_evict` ends the request while it is evictable.
    """

    on_evict: Callable[[], None]
    pool: _Pool = attrs.field(repr=False)
    held_bytes: int = 0
    # What was added since the last progress.
    unmarked_bytes: int = 0
    is_closed: bool = False


class MemoryBudget:
    """The memory of all requests; no more than a limit is held at a time.

    Reservations of up to `small_bytes` have a pool of their own, so that larger
    ones cannot keep small requests out. While a pool is short, the evictable
    reservation that has made no progress for longest is evicted.
    """

    def __init__(
        self,
        limit_bytes: float,
        small_limit_bytes: float = 0,
        small_bytes: int = 0,
    ) -> None:
        self._small_bytes = small_bytes
        self._small = _Pool(small_limit_bytes)
        self._large = _Pool(limit_bytes)

    @property
    def held_bytes(self) -> int:
        """The memory that is held now."""
        return self._small.held_bytes + self._large.held_bytes

    def open(self, on_evict: Callable[[], None]) -> Reservation:
        """Return a reservation without memory, which is not evictable yet.

        `on_evict` is called after its memory was released; it must not
        block.
        """
        return Reservation(on_evict, self._small)

    def set_evictable(
        self, reservation: Reservation, *, is_evictable: bool
    ) -> None:
        """Set whether a reservation may be evicted for others."""
        reservation.pool.evictable.pop(reservation, None)
        if is_evictable and not reservation.is_closed:
            reservation.pool.evictable[reservation] = None

    def grow(self, reservation: Reservation, count_bytes: int) -> None:
        """Add bytes to a reservation; others may be evicted.

        Raises:
            MemoryShortError: there is no memory left. The reservation was closed
                if it was the one to evict.
        """
        if reservation.is_closed:
            raise MemoryShortError
        if reservation.held_bytes + count_bytes > self._small_bytes:
            self._move_to_large(reservation)
        pool = reservation.pool
        # A request that is larger than the pool is served if it is alone.
        while (
            pool.held_bytes + count_bytes > pool.limit_bytes
            and pool.held_bytes > reservation.held_bytes
        ):
            self._evict_oldest(pool, reservation)
        pool.held_bytes += count_bytes
        reservation.held_bytes += count_bytes
        reservation.unmarked_bytes += count_bytes
        if reservation.unmarked_bytes >= PROGRESS_BYTES:
            reservation.unmarked_bytes = 0
            if reservation in pool.evictable:
                pool.evictable.move_to_end(reservation)

    def borrow(self, reservation: Reservation, count_bytes: int) -> bool:
        """Add bytes over the limit; return whether that is allowed.

        One reservation of a pool may, if it holds some memory: those that
        wait for the rest of theirs would otherwise all wait for each other.
        """
        pool = reservation.pool
        borrower = pool.borrower
        is_taken = (
            borrower is not None
            and borrower is not reservation
            and borrower.pool is pool
            and not borrower.is_closed
        )
        if reservation.is_closed or not reservation.held_bytes or is_taken:
            return False
        pool.borrower = reservation
        pool.held_bytes += count_bytes
        reservation.held_bytes += count_bytes
        return True

    def close(self, reservation: Reservation) -> None:
        """Release the memory of a reservation."""
        if reservation.is_closed:
            return
        reservation.is_closed = True
        reservation.pool.evictable.pop(reservation, None)
        reservation.pool.held_bytes -= reservation.held_bytes

    def _move_to_large(self, reservation: Reservation) -> None:
        old = reservation.pool
        if old is self._large:
            return
        reservation.pool = self._large
        old.held_bytes -= reservation.held_bytes
        self._large.held_bytes += reservation.held_bytes
        if reservation in old.evictable:
            old.evictable.pop(reservation)
            self._large.evictable[reservation] = None

    def _evict_oldest(self, pool: _Pool, growing: Reservation) -> None:
        oldest = next(iter(pool.evictable), None)
        if oldest is None:
            raise MemoryShortError
        self.close(oldest)
        oldest.on_evict()
        if oldest is growing:
            raise MemoryShortError
