"""Windows that another holder may have reported without a record left.

A store that comes back from a copy loses the records that were written last.
Totals that are fixed anew differ from those of a lost record, and its report
may have been accepted.
"""

import attrs
import eventlet

from dandelionyoke_core import (
    CodecError,
    OperationId,
    StoreItem,
    StoreList,
    StoreListing,
    StorePut,
    StoreWritten,
    era_of,
    record_from_json,
    record_to_json,
)
from dandelionyoke_gateway._clock import clock_s
from dandelionyoke_gateway._ports import FencingStamp, Store

ERAS_PREFIX = 'eras/'
SETTLED_KEY = 'eras/settled'
OPERATION = OperationId('settled era')
RETRY_INTERVAL_S = 0.5


@attrs.frozen
class SettledEra:
    """The store's era in which no window from before it is due any more."""

    era: int


@attrs.frozen
class _StoredEra:
    """The store's present era and the record of the last settled one."""

    era: int
    record: StoreItem

    @property
    def is_settled(self) -> bool:
        try:
            settled = record_from_json(self.record.value or '', SettledEra)
        except CodecError:
            return False
        return settled.era == self.era


class LostReports:
    """Knows since when the store can't have lost a record of another holder.

    A process hears of each return of the store after its first call to it. Of
    earlier ones it knows by the record of the last settled era: the store's
    era is higher after a return, and the record is older.

    Holders close a window `close_delay_s` after its end, by their own clocks,
    which differ by less than that.
    """

    def __init__(
        self, store: Store, usage_late_s: float, close_delay_s: float
    ) -> None:
        self._store = store
        self._settled_after_s = usage_late_s + close_delay_s
        self._known_from_s = float('inf')
        self._era_seen_s = float('inf')
        self._is_recorded = False
        self._fence = 0
        self._held_from_s = 0.0

    def begin(self) -> None:
        """Wait for the store and read whether its era is settled."""
        while (stored := self._read()) is None:
            eventlet.sleep(RETRY_INTERVAL_S)
        self._is_recorded = stored.is_settled
        self._era_seen_s = clock_s()
        self._known_from_s = self._era_seen_s
        if stored.is_settled:
            self._known_from_s = float('-inf')

    def hold(self, stamp: FencingStamp) -> None:
        """Take note that this node holds the duty."""
        if stamp.fence != self._fence:
            self._fence = stamp.fence
            self._held_from_s = clock_s()

    def store_replaced(self, stamp: FencingStamp | None) -> None:
        """Take note of a return; `stamp` is of the duty held until then.

        The holder knows all that was reported since it got the duty.
        """
        self._is_recorded = False
        self._era_seen_s = clock_s()
        is_same_term = stamp is not None and stamp.fence == self._fence
        self._known_from_s = (
            self._held_from_s if is_same_term else self._era_seen_s
        )

    def may_include(self, ended_s: float) -> bool:
        """Whether another holder may have reported a window that has ended."""
        return ended_s < self._known_from_s

    def settle(self) -> None:
        """Record the era as settled once no window before it is due."""
        age_s = clock_s() - self._era_seen_s
        if self._is_recorded or age_s < self._settled_after_s:
            return
        stored = self._read()
        if stored is None:
            return
        if stored.is_settled:
            self._is_recorded = True
            return
        text = record_to_json(SettledEra(stored.era))
        revision = stored.record.revision
        put = StorePut(OPERATION, SETTLED_KEY, text, revision)
        if isinstance(self._store.perform(put), StoreWritten):
            self._is_recorded = True

    def _read(self) -> _StoredEra | None:
        listing = self._store.perform(StoreList(OPERATION, ERAS_PREFIX))
        if not isinstance(listing, StoreListing):
            return None
        absent = StoreItem(SETTLED_KEY, 0, None)
        found = [item for item in listing.items if item.key == SETTLED_KEY]
        record = found[0] if found else absent
        return _StoredEra(era_of(listing.revision), record)
