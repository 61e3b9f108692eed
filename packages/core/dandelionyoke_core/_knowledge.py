"""The configuration of one node, which only moves to higher revisions."""

from collections import deque
from collections.abc import Iterable

import attrs

from dandelionyoke_core._actions import WriteLog
from dandelionyoke_core._changes import apply_change, revoked_keys
from dandelionyoke_core._codec import record_to_json
from dandelionyoke_core._entities import Change, Snapshot
from dandelionyoke_core._notices import ConfigurationInForce, KeyRevoked
from dandelionyoke_core._ports import Output

LOG_KIND = 'configuration.in_force'


@attrs.frozen
class KnowledgeSettings:
    """Limits on the changes that a node retains and sends.

    `max_pushed_changes` and `max_pushed_bytes` limit the changes that are
    sent without a request, `max_offered_bytes` those in an answer.
    """

    max_retained_changes: int = 64
    max_pushed_changes: int = 4
    max_pushed_bytes: int = 16_384
    max_offered_bytes: int = 524_288


class Knowledge:
    """Configuration snapshot that accepts only higher revisions."""

    def __init__(self, settings: KnowledgeSettings) -> None:
        self._settings = settings
        self._recent: deque[Change] = deque(
            maxlen=settings.max_retained_changes
        )
        self.snapshot = Snapshot()

    @property
    def revision(self) -> int:
        """The revision in force."""
        return self.snapshot.revision

    def take_changes(self, changes: Iterable[Change]) -> list[Output]:
        """Apply the changes that follow without a gap; skip all others."""
        snapshot = self.snapshot
        applied: list[Change] = []
        for change in changes:
            if change.revision == snapshot.revision + 1:
                snapshot = apply_change(snapshot, change)
                applied.append(change)
        return self._activate(snapshot, applied)

    def take_snapshot(
        self, snapshot: Snapshot, changes: Iterable[Change] = ()
    ) -> list[Output]:
        """Replace the configuration if the snapshot has a higher revision.

        `changes` are those that led to the snapshot, as far as known.
        """
        newer = [
            change
            for change in changes
            if self.revision < change.revision <= snapshot.revision
        ]
        return self._activate(snapshot, newer)

    def changes_after(self, revision: int) -> tuple[Change, ...] | None:
        """Return the changes after a revision.

        Returns None if some are no longer retained, or if they would not
        fit in one frame.
        """
        newer = tuple(
            change for change in self._recent if change.revision > revision
        )
        if len(newer) != max(0, self.revision - revision):
            return None
        if sum(map(_size_bytes, newer)) > self._settings.max_offered_bytes:
            return None
        return newer

    def last_changes(self) -> tuple[Change, ...]:
        """Return the newest changes that fit the limits for pushing."""
        pushed: list[Change] = []
        size_bytes = 0
        for change in reversed(self._recent):
            size_bytes += _size_bytes(change)
            if size_bytes > self._settings.max_pushed_bytes:
                break
            if len(pushed) >= self._settings.max_pushed_changes:
                break
            pushed.append(change)
        return tuple(reversed(pushed))

    def _activate(
        self, snapshot: Snapshot, changes: list[Change]
    ) -> list[Output]:
        previous = self.snapshot
        if snapshot.revision <= previous.revision:
            return []
        self.snapshot = snapshot
        self._recent.extend(changes)
        outputs: list[Output] = [ConfigurationInForce(snapshot, tuple(changes))]
        outputs.extend(
            KeyRevoked(key_hash)
            for key_hash in revoked_keys(previous, snapshot)
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
