"""News of the platform's list of targets, for those who read it seldom.

The list of a large fleet is long. In a large domain two entries read it
every few seconds and tell the others what has changed; the others read it
once in a while, in case a change escaped them.
"""

import attrs

from dandelionyoke_core._events import SharedRecord
from dandelionyoke_core._names import TargetId
from dandelionyoke_core._records import Target

# A record stays small; whoever misses a change reads the list itself later.
MAX_CHANGES = 64
KEPT_S = 30.0


@attrs.frozen
class TargetsShared(SharedRecord):
    """Targets that are new or have changed, and those that are gone."""

    changed: tuple[Target, ...]
    gone: tuple[TargetId, ...]


@attrs.define
class RecentChanges:
    """What changed in the list of late."""

    _changed: dict[TargetId, tuple[float, Target]] = attrs.field(factory=dict)
    _gone: dict[TargetId, float] = attrs.field(factory=dict)

    def note(self, target: Target, now_s: float) -> None:
        """Note a target that is new or other than before."""
        self._gone.pop(target.target_id, None)
        self._changed[target.target_id] = (now_s, target)

    def note_gone(self, target_id: TargetId, now_s: float) -> None:
        """Note a target that is listed no more."""
        self._changed.pop(target_id, None)
        self._gone[target_id] = now_s

    def forget(self) -> None:
        """Take all that was noted for known."""
        self._changed.clear()
        self._gone.clear()

    def latest(
        self, now_s: float
    ) -> tuple[tuple[Target, ...], tuple[TargetId, ...]]:
        """Give what changed of late, and forget what is older."""
        since_s = now_s - KEPT_S
        self._changed = {
            target_id: noted
            for target_id, noted in self._changed.items()
            if noted[0] >= since_s
        }
        self._gone = {
            target_id: at_s
            for target_id, at_s in self._gone.items()
            if at_s >= since_s
        }
        changed = [target for _, target in self._changed.values()]
        return tuple(changed[-MAX_CHANGES:]), tuple(self._gone)[-MAX_CHANGES:]
