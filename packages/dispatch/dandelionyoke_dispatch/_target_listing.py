"""The latest listing of targets, and its changes for other nodes."""

from collections.abc import Iterable

import attrs

from dandelionyoke_dispatch._registry import RegisteredTarget

# The number of removed target ids that are kept for other nodes. Beyond it,
# nodes that have not polled for so long get a snapshot.
MAX_REMOVED_IDS = 1024


@attrs.frozen
class ListingMark:
    """A position in the sequence of changes of a listing.

    `name` identifies the listing of one process. `number` is the sequence
    number of the latest change, counted from the start of that process.
    """

    name: str
    number: int


@attrs.frozen
class ListingChanges:
    """The delta or snapshot that brings a node up to `mark`."""

    mark: ListingMark
    is_whole: bool
    changed: tuple[RegisteredTarget, ...]
    gone: tuple[str, ...]


class TargetListing:
    """Targets by id, the time of confirmation, and numbered changes.

    Heartbeats that rewrite an entry without a relevant change are not counted,
    so that an unchanged fleet produces no deltas.
    """

    def __init__(self, name: str) -> None:
        self._name = name
        self._number = 0
        # Nodes with a mark before this change get a snapshot.
        self._oldest_number = 0
        self._targets: dict[str, RegisteredTarget] = {}
        self._changed_at: dict[str, int] = {}
        self._gone_at: dict[str, int] = {}
        self._confirmed_s: float | None = None

    @property
    def targets(self) -> tuple[RegisteredTarget, ...]:
        """All listed targets."""
        return tuple(self._targets.values())

    @property
    def confirmed_s(self) -> float | None:
        """The latest time at which the listing was valid; None if never."""
        return self._confirmed_s

    @property
    def mark(self) -> ListingMark:
        """The position of the latest change."""
        return ListingMark(self._name, self._number)

    def replace(
        self, targets: Iterable[RegisteredTarget], confirmed_s: float
    ) -> None:
        """Replace the listing by a snapshot that was valid at `confirmed_s`."""
        by_id = {target.target_id: target for target in targets}
        gone = tuple(
            target_id for target_id in self._targets if target_id not in by_id
        )
        self.change(by_id.values(), gone, confirmed_s)

    def change(
        self,
        changed: Iterable[RegisteredTarget],
        gone: Iterable[str],
        confirmed_s: float,
    ) -> None:
        """Apply a delta that makes the listing valid at `confirmed_s`."""
        for target in changed:
            if self._targets.get(target.target_id) != target:
                self._record_change(target.target_id, self._changed_at)
                self._gone_at.pop(target.target_id, None)
                self._targets[target.target_id] = target
        for target_id in gone:
            if self._targets.pop(target_id, None) is not None:
                self._record_change(target_id, self._gone_at)
                self._changed_at.pop(target_id, None)
        if len(self._gone_at) > MAX_REMOVED_IDS:
            self._gone_at.clear()
            self._oldest_number = self._number
        if self._confirmed_s is None or confirmed_s > self._confirmed_s:
            self._confirmed_s = confirmed_s

    def since(self, mark: ListingMark | None) -> ListingChanges:
        """Return the changes after a mark.

        The result is a snapshot if the changes since that mark are not all
        known.
        """
        if (
            mark is None
            or mark.name != self._name
            or mark.number < self._oldest_number
        ):
            return ListingChanges(self.mark, True, self.targets, ())
        changed = tuple(
            self._targets[target_id]
            for target_id, number in self._changed_at.items()
            if number > mark.number
        )
        gone = tuple(
            target_id
            for target_id, number in self._gone_at.items()
            if number > mark.number
        )
        return ListingChanges(self.mark, False, changed, gone)

    def _record_change(self, target_id: str, numbers: dict[str, int]) -> None:
        self._number += 1
        numbers[target_id] = self._number
