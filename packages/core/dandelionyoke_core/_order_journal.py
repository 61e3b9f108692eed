"""The write-ahead journal of a domain's orders.

An order is journalled before it is sent. Every write is a compare-and-swap. A
new holder of the control duty begins with a write of its own, after which
every write of its predecessor fails.
"""

from random import Random

from dandelionyoke_core._actions import StoreGet, StorePut
from dandelionyoke_core._back_off import BackOff
from dandelionyoke_core._codec import record_from_json, record_to_json
from dandelionyoke_core._errors import CodecError
from dandelionyoke_core._names import Domain
from dandelionyoke_core._order_plans import Journal, Plan
from dandelionyoke_core._orders_settings import OrdersSettings
from dandelionyoke_core._ports import Output
from dandelionyoke_core._records import (
    StoreConflict,
    StoreItem,
    StoreResult,
    StoreWritten,
)
from dandelionyoke_core._store_slot import StoreSlot

JOURNAL_PREFIX = 'orders'


class OrderJournal:
    """The current plans, and the version that is known to be in the store."""

    def __init__(
        self, settings: OrdersSettings, domain: Domain, random: Random
    ) -> None:
        self.slot = StoreSlot(
            f'{JOURNAL_PREFIX}.{domain}', settings.call_timeout_s, random
        )
        self.plans: dict[str, Plan] = {}
        self._key = f'{JOURNAL_PREFIX}/{domain}'
        self._back_off = BackOff(settings.back_off, random)
        self._fence = 0
        self._revision = 0
        self._saved = Journal(0)
        self._in_flight: Journal | None = None
        self._retry_at_s: float | None = None
        self._is_dirty = False
        self.is_taken_over = False

    def take_over(self, fence: int, now_s: float) -> list[Output]:
        """Begin to take the journal over from the previous holder."""
        self.reset()
        self._fence = fence
        return [StoreGet(self.slot.begin_call(now_s), self._key)]

    def reset(self) -> None:
        """Clear all state; a write in flight is not recalled."""
        self.slot.drop()
        self.plans = {}
        self._fence = 0
        self._in_flight = None
        self._retry_at_s = None
        self._is_dirty = False
        self.is_taken_over = False

    def next_wakeup_s(self) -> float | None:
        """Return when a store call has to be made or timed out, or None."""
        times = (self._retry_at_s, self.slot.next_wakeup_s())
        return min((due for due in times if due is not None), default=None)

    def is_saved(self, plan: Plan) -> bool:
        """Return whether exactly this plan is known to be in the store."""
        return self.is_taken_over and plan in self._saved.plans

    def put(self, plan: Plan) -> None:
        """Add or replace a plan."""
        self.plans[plan.plan_id] = plan
        self._is_dirty = True

    def remove(self, plan: Plan) -> None:
        """Remove a plan that has ended."""
        self.plans.pop(plan.plan_id, None)
        self._is_dirty = True

    def write_if_due(self, now_s: float) -> list[Output]:
        """Write the changed plans, or retry after a failure."""
        if not self._fence or not self.slot.is_free:
            return []
        if self._retry_at_s is not None:
            if now_s < self._retry_at_s:
                return []
            self._retry_at_s = None
            if self._in_flight is None:
                return [StoreGet(self.slot.begin_call(now_s), self._key)]
            return self._write(self._in_flight, now_s)
        if self.is_taken_over and self._is_dirty:
            return self._write(self._next_journal(self._saved.version), now_s)
        return []

    def handle_result(self, result: StoreResult, now_s: float) -> list[Output]:
        """Handle the result of a store call.

        Raises:
            CodecError: the stored journal cannot be decoded.
        """
        match result:
            case StoreWritten(revision=revision) if self._in_flight is not None:
                self._handle_written(self._in_flight, revision)
                return self.write_if_due(now_s)
            case StoreConflict(present=present):
                return self._handle_present(present, now_s)
            case StoreItem():
                return self._handle_present(result, now_s)
        self._retry_at_s = now_s + self._back_off.next_s()
        return []

    @property
    def is_superseded(self) -> bool:
        """Whether a holder with a higher fencing token has written."""
        return bool(self._fence) and self._saved.fence > self._fence

    def _handle_present(self, present: StoreItem, now_s: float) -> list[Output]:
        stored = Journal(0)
        if present.value is not None:
            stored = record_from_json(present.value, Journal)
        if stored == self._in_flight:
            # The write succeeded but its answer was lost.
            self._handle_written(stored, present.revision)
            return self.write_if_due(now_s)
        self._saved = stored
        self._revision = present.revision
        if stored.fence > self._fence:
            return []
        self.plans = {plan.plan_id: plan for plan in stored.plans}
        return self._write(self._next_journal(stored.version), now_s)

    def _handle_written(self, journal: Journal, revision: int) -> None:
        self._back_off.reset()
        self._saved = journal
        self._revision = revision
        self._in_flight = None
        self.is_taken_over = True

    def _next_journal(self, version: int) -> Journal:
        self._is_dirty = False
        plans = tuple(self.plans[name] for name in sorted(self.plans))
        return Journal(self._fence, version + 1, plans)

    def _write(self, journal: Journal, now_s: float) -> list[Output]:
        # A failed write is retried unchanged, even if the plans have changed
        # since. Otherwise a write whose answer was lost would look like the
        # write of another holder.
        self._in_flight = journal
        return [
            StorePut(
                self.slot.begin_call(now_s),
                self._key,
                record_to_json(journal),
                self._revision,
            )
        ]


def unreadable_cause(error: CodecError) -> str:
    """Return the log text for a journal that cannot be decoded."""
    return f'the journal cannot be decoded: {error}'
