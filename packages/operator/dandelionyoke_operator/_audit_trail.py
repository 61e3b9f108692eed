"""The audit trail, with what each change replaced."""

from collections.abc import Iterable, Sequence

import attrs

from dandelionyoke_core import Change, Entity, Operation, Put
from dandelionyoke_operator._difference import (
    EntityReference,
    describe_operation,
    describe_without_previous,
    operation_reference,
)
from dandelionyoke_operator._reports import ChangeRecord, SectionDifference

FIRST_REVISION = 1


def replay_changes(changes: Iterable[Change]) -> tuple[ChangeRecord, ...]:
    """Follow changes, given without a gap, from the oldest on."""
    listed = tuple(changes)
    replay = _Replay(_starts_at_first_revision(listed))
    return tuple(replay.apply(change) for change in listed)


def merge_changes(
    some: Iterable[Change], more: Iterable[Change]
) -> tuple[Change, ...]:
    """Put two stretches of the audit trail together, each change once."""
    by_revision = {change.revision: change for change in (*some, *more)}
    return tuple(by_revision[revision] for revision in sorted(by_revision))


def _starts_at_first_revision(changes: Sequence[Change]) -> bool:
    return bool(changes) and changes[0].revision == FIRST_REVISION


@attrs.define
class _Replay:
    """The entities as far as the changes so far tell.

    `complete` says that the replay began with the first change, so that
    what has not been seen was not there.
    """

    is_complete: bool
    _seen: dict[EntityReference, Entity | None] = attrs.field(factory=dict)

    def apply(self, change: Change) -> ChangeRecord:
        return ChangeRecord(
            revision=change.revision,
            change_id=change.change_id,
            author=change.author,
            reason=change.reason,
            committed_wall_s=change.committed_wall_s,
            differences=tuple(map(self._describe, change.operations)),
        )

    def _describe(self, operation: Operation) -> SectionDifference:
        place = operation_reference(operation)
        known = self.is_complete or place in self._seen
        before = self._seen.get(place)
        after = operation.entity if isinstance(operation, Put) else None
        self._seen[place] = after
        if known:
            return describe_operation(operation, before)
        return describe_without_previous(operation)
