"""What one node knows of the configuration; it only ever grows."""

from collections import deque
from collections.abc import Iterable

import attrs

from dandelionyoke_core._actions import WriteLog
from dandelionyoke_core._changes import apply_change, withdrawn_keys
from dandelionyoke_core._codec import record_to_json
from dandelionyoke_core._entities import Change, Snapshot
from dandelionyoke_core._notices import ConfigurationInForce, KeyWithdrawn
from dandelionyoke_core._ports import Output

LOG_KIND = 'configuration.in_force'


@attrs.frozen
class KnowledgeSettings:
    """How many changes a node keeps, and how many it tells at once."""

    kept_changes: int = 64
    told_changes: int = 4
    told_bytes: int = 16_384
    offered_bytes: int = 524_288


class Knowledge:
    """A configuration that takes higher revisions and no others."""

    def __init__(self, settings: KnowledgeSettings) -> None:
        self._settings = settings
        self._recent: deque[Change] = deque(maxlen=settings.kept_changes)
        self.snapshot = Snapshot()

    @property
    def revision(self) -> int:
        """The revision in force."""
        return self.snapshot.revision

    def take_changes(self, changes: Iterable[Change]) -> list[Output]:
        """Take the changes that follow without a gap; skip all others."""
        snapshot = self.snapshot
        taken: list[Change] = []
        for change in changes:
            if change.revision == snapshot.revision + 1:
                snapshot = apply_change(snapshot, change)
                taken.append(change)
        return self._put_in_force(snapshot, taken)

    def take_snapshot(
        self, snapshot: Snapshot, changes: Iterable[Change] = ()
    ) -> list[Output]:
        """Take a whole configuration, if its revision is higher.

        `changes` are those that led to it, as far as they are known.
        """
        fresh = [
            change
            for change in changes
            if self.revision < change.revision <= snapshot.revision
        ]
        return self._put_in_force(snapshot, fresh)

    def changes_after(self, revision: int) -> tuple[Change, ...] | None:
        """Give the changes after a revision.

        None where some are gone, or where they would not fit a frame.
        """
        newer = tuple(
            change for change in self._recent if change.revision > revision
        )
        if len(newer) != max(0, self.revision - revision):
            return None
        if sum(map(_size_bytes, newer)) > self._settings.offered_bytes:
            return None
        return newer

    def last_changes(self) -> tuple[Change, ...]:
        """Give the newest changes, as many as are told unasked."""
        told: list[Change] = []
        size_bytes = 0
        for change in reversed(self._recent):
            size_bytes += _size_bytes(change)
            if size_bytes > self._settings.told_bytes:
                break
            if len(told) >= self._settings.told_changes:
                break
            told.append(change)
        return tuple(reversed(told))

    def _put_in_force(
        self, snapshot: Snapshot, changes: list[Change]
    ) -> list[Output]:
        old = self.snapshot
        if snapshot.revision <= old.revision:
            return []
        self.snapshot = snapshot
        self._recent.extend(changes)
        outputs: list[Output] = [ConfigurationInForce(snapshot, tuple(changes))]
        outputs.extend(
            KeyWithdrawn(key_hash) for key_hash in withdrawn_keys(old, snapshot)
        )
        outputs.extend(_logs(snapshot, changes))
        return outputs


def _size_bytes(change: Change) -> int:
    return len(record_to_json(change))


def _logs(snapshot: Snapshot, changes: list[Change]) -> list[WriteLog]:
    if not changes:
        return [WriteLog(LOG_KIND, str(snapshot.revision), cause='snapshot')]
    return [
        WriteLog(
            kind=LOG_KIND,
            subject=str(change.revision),
            detail=change.change_id,
            cause=f'{change.author}: {change.reason}',
        )
        for change in changes
    ]
