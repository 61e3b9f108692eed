"""The usage counter of this entry, saved in the store and copied to peers."""

from random import Random

import attrs

from dandelionyoke_core._actions import CountMetric, SendPeer, StorePut
from dandelionyoke_core._back_off import BackOff
from dandelionyoke_core._codec import record_from_json, record_to_json
from dandelionyoke_core._errors import CodecError
from dandelionyoke_core._names import InstanceId
from dandelionyoke_core._notices import UsageDelivered
from dandelionyoke_core._ports import Output, Peers
from dandelionyoke_core._records import (
    StoreConflict,
    StoreResult,
    StoreWritten,
    UsageFigure,
)
from dandelionyoke_core._rendezvous import rendezvous
from dandelionyoke_core._store_slot import StoreSlot
from dandelionyoke_core._usage_figures import RowKey, UsageTable, row_key
from dandelionyoke_core._usage_records import CounterRecord, UsageCopied
from dandelionyoke_core._usage_settings import UsageSettings


class OwnCounter:
    """The cumulative counts of one incarnation of this entry."""

    def __init__(
        self, settings: UsageSettings, key: str, peers: Peers, random: Random
    ) -> None:
        self.slot = StoreSlot(f'{key}', settings.call_timeout_s, random)
        self._settings = settings
        self._key = key
        self._peers = peers
        self._random = random
        self._back_off = BackOff(settings.back_off, random)
        self._table = UsageTable()
        self._sequence = 0
        self._sent_sequence = 0
        self._saved_sequence = 0
        self._revision = 0
        self._uncopied: set[RowKey] = set()
        self._connected_peers: set[InstanceId] = set()
        self._copy_holders: tuple[InstanceId, ...] = ()
        self._flush_due_s: float | None = None
        self._copy_due_s: float | None = None

    @property
    def is_saved(self) -> bool:
        """Whether the store has everything that was counted."""
        return self._saved_sequence == self._sequence

    def next_wakeup_s(self) -> float | None:
        """Return when the counts have to be saved or copied, or None."""
        times = (self._flush_due_s, self._copy_due_s)
        return min((due for due in times if due is not None), default=None)

    def count(self, event: UsageDelivered, now_s: float) -> list[Output]:
        """Count the requests and tokens that were delivered to a caller."""
        figure = UsageFigure(
            event.organisation,
            event.service,
            event.requests,
            event.prompt_tokens,
            event.output_tokens,
        )
        name = row_key(figure)
        is_full = len(self._table.rows) >= self._settings.max_rows
        if is_full and name not in self._table.rows:
            return [CountMetric('usage.uncounted_calls')]
        self._table.add(figure)
        self._sequence += 1
        self._uncopied.add(name)
        if self._copy_due_s is None:
            self._copy_due_s = now_s + self._settings.copy_interval_s
        if self._flush_due_s is None and self.slot.is_free:
            interval_s = self._settings.flush_interval_s
            self._flush_due_s = now_s + interval_s * self._random.uniform(
                0.7, 1
            )
        return []

    def flush(self, now_s: float) -> list[Output]:
        """Write all counts to the store unless they are saved."""
        self._flush_due_s = None
        if self.is_saved or not self.slot.is_free:
            return []
        self._sent_sequence = self._sequence
        record = CounterRecord(self._sequence, self._table.figures())
        return [
            StorePut(
                self.slot.begin_call(now_s),
                self._key,
                record_to_json(record),
                self._revision,
            )
        ]

    def run_due(self, now_s: float) -> list[Output]:
        """Save and copy the counts if due."""
        outputs: list[Output] = []
        if self._flush_due_s is not None and now_s >= self._flush_due_s:
            outputs.extend(self.flush(now_s))
        if self._copy_due_s is not None and now_s >= self._copy_due_s:
            self._copy_due_s = None
            outputs.extend(self._send_copies())
        return outputs

    def handle_result(self, result: StoreResult, now_s: float) -> list[Output]:
        """Handle the result of a write."""
        match result:
            case StoreWritten(revision=revision):
                self._revision = revision
                self._saved_sequence = self._sent_sequence
                self._back_off.reset()
                if not self.is_saved:
                    self._flush_due_s = now_s + self._settings.flush_interval_s
            case StoreConflict(present=present):
                # A peer wrote its copy, or the answer to a write of this
                # entry was lost. Neither holds more than this entry counted.
                self._revision = present.revision
                self._merge_stored(present.value)
                return self.flush(now_s)
            case _:
                self._flush_due_s = now_s + self._back_off.next_s()
        return []

    # Copies on peers.

    def add_peer(self, peer_id: InstanceId) -> list[Output]:
        """Add a linked peer, and choose the copy holders again."""
        self._connected_peers.add(peer_id)
        return self._choose_copy_holders()

    def remove_peer(self, peer_id: InstanceId) -> list[Output]:
        """Remove a peer, and choose another one to hold the copy."""
        self._connected_peers.discard(peer_id)
        return self._choose_copy_holders()

    def _choose_copy_holders(self) -> list[Output]:
        before = self._copy_holders
        same_domain = self._connected_peers & set(self._peers.live_in_domain)
        other_domains = self._connected_peers - same_domain
        count = self._settings.copies
        ranked_same = rendezvous(same_domain, self._key, count)
        # A copy in another domain survives the loss of the whole domain.
        ranked_other = rendezvous(other_domains, self._key, count)
        ranked = [
            *ranked_same[:1],
            *ranked_other[:1],
            *ranked_same[1:],
            *ranked_other[1:],
        ]
        self._copy_holders = tuple(ranked[:count])
        new = [peer for peer in self._copy_holders if peer not in before]
        if not self._sequence:
            return []
        full_copy = self._message(self._table.figures())
        return [SendPeer(peer_id, full_copy) for peer_id in new]

    def _send_copies(self) -> list[Output]:
        rows = self._table.rows
        changed = tuple(rows[name] for name in sorted(self._uncopied))
        self._uncopied.clear()
        message = self._message(changed)
        return [SendPeer(peer_id, message) for peer_id in self._copy_holders]

    def _message(self, figures: tuple[UsageFigure, ...]) -> UsageCopied:
        return UsageCopied(self._key, self._sequence, figures)

    def _merge_stored(self, text: str | None) -> None:
        if text is None:
            return
        try:
            record = record_from_json(text, CounterRecord)
        except CodecError:
            return
        self._table.merge_max(record.figures)


@attrs.define
class CounterCopy:
    """The copy of a peer's counter, as far as received."""

    sequence: int = 0
    table: UsageTable = attrs.field(factory=UsageTable)
