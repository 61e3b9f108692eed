"""The targets as last read, and what changed since another node heard."""

from collections.abc import Iterable

import attrs

from dandelionyoke_dispatch._registry import RegisteredTarget

# Names of targets that are gone are kept for other nodes up to this many;
# then those that heard nothing for so long get the whole listing.
MOST_GONE = 1024


@attrs.frozen
class ListingMark:
    """Up to which change of whose listing a node has heard.

    `name` is one process's listing; the number of its newest change counts
    from its start.
    """

    name: str
    number: int


@attrs.frozen
class ListingChanges:
    """What has to be told to a node, up to `mark`."""

    mark: ListingMark
    is_whole: bool
    changed: tuple[RegisteredTarget, ...]
    gone: tuple[str, ...]


class TargetListing:
    """Targets by id, when that was true, and the number of each change.

    Heartbeats rewrite an entry without a change that matters here, so that a
    quiet fleet has no changes to tell.
    """

    def __init__(self, name: str) -> None:
        self._name = name
        self._number = 0
        # Whoever heard less than this many changes gets the whole listing.
        self._oldest = 0
        self._targets: dict[str, RegisteredTarget] = {}
        self._changed_at: dict[str, int] = {}
        self._gone_at: dict[str, int] = {}
        self._proven_s: float | None = None

    @property
    def targets(self) -> tuple[RegisteredTarget, ...]:
        """All targets that are listed."""
        return tuple(self._targets.values())

    @property
    def proven_s(self) -> float | None:
        """The last moment at which this was the listing; None: never."""
        return self._proven_s

    @property
    def mark(self) -> ListingMark:
        """The newest change."""
        return ListingMark(self._name, self._number)

    def replace(
        self, targets: Iterable[RegisteredTarget], proven_s: float
    ) -> None:
        """Take a whole listing that was true at `proven_s`."""
        by_id = {target.target_id: target for target in targets}
        gone = tuple(name for name in self._targets if name not in by_id)
        self.change(by_id.values(), gone, proven_s)

    def change(
        self,
        changed: Iterable[RegisteredTarget],
        gone: Iterable[str],
        proven_s: float,
    ) -> None:
        """Take changes that make the listing true at `proven_s`."""
        for target in changed:
            if self._targets.get(target.target_id) != target:
                self._note(target.target_id, self._changed_at)
                self._gone_at.pop(target.target_id, None)
                self._targets[target.target_id] = target
        for target_id in gone:
            if self._targets.pop(target_id, None) is not None:
                self._note(target_id, self._gone_at)
                self._changed_at.pop(target_id, None)
        if len(self._gone_at) > MOST_GONE:
            self._gone_at.clear()
            self._oldest = self._number
        if self._proven_s is None or proven_s > self._proven_s:
            self._proven_s = proven_s

    def since(self, mark: ListingMark | None) -> ListingChanges:
        """List what a node does not know that has heard up to a mark."""
        if (
            mark is None
            or mark.name != self._name
            or mark.number < self._oldest
        ):
            return ListingChanges(self.mark, True, self.targets, ())
        changed = tuple(
            self._targets[name]
            for name, number in self._changed_at.items()
            if number > mark.number
        )
        gone = tuple(
            name
            for name, number in self._gone_at.items()
            if number > mark.number
        )
        return ListingChanges(self.mark, False, changed, gone)

    def _note(self, target_id: str, numbers: dict[str, int]) -> None:
        self._number += 1
        numbers[target_id] = self._number
