"""Recent changes of the platform's target list, shared between entries.

The list of a large fleet is long. In a large domain two entries read it
every few seconds and share the changes; the other entries read it less
often, in case they missed a change.
"""

import attrs

from dandelionyoke_core._events import SharedRecord
from dandelionyoke_core._names import TargetId
from dandelionyoke_core._records import Target

# Keeps the record small; an entry that misses a change reads the list later.
MAX_CHANGES = 64
RETENTION_S = 30.0


@attrs.frozen
class TargetsShared(SharedRecord):
    """Targets that were added or changed, and targets that were removed."""

    changed: tuple[Target, ...]
    gone: tuple[TargetId, ...]


@attrs.define
class RecentChanges:
    """Changes of the target list in the last `RETENTION_S` seconds."""

    _changed: dict[TargetId, tuple[float, Target]] = attrs.field(factory=dict)
    _gone: dict[TargetId, float] = attrs.field(factory=dict)

    def add_changed(self, target: Target, now_s: float) -> None:
        """Record a target that was added or changed."""
        self._gone.pop(target.target_id, None)
        self._changed[target.target_id] = (now_s, target)

    def add_removed(self, target_id: TargetId, now_s: float) -> None:
        """Record a target that is no longer listed."""
        self._changed.pop(target_id, None)
        self._gone[target_id] = now_s

    def clear(self) -> None:
        """Discard all recorded changes."""
        self._changed.clear()
        self._gone.clear()

    def latest(
        self, now_s: float
    ) -> tuple[tuple[Target, ...], tuple[TargetId, ...]]:
        """Return the recent changes and discard older ones."""
        since_s = now_s - RETENTION_S
        self._changed = {
            target_id: entry
            for target_id, entry in self._changed.items()
            if entry[0] >= since_s
        }
        self._gone = {
            target_id: removed_s
            for target_id, removed_s in self._gone.items()
            if removed_s >= since_s
        }
        changed = [target for _, target in self._changed.values()]
        return tuple(changed[-MAX_CHANGES:]), tuple(self._gone)[-MAX_CHANGES:]
