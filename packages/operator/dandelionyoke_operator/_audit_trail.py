"""Replays the audit trail to describe what each change replaced."""

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
    """Describe consecutive changes, given from the oldest to the newest."""
    change_list = tuple(changes)
    replay = _Replay(_starts_at_first_revision(change_list))
    return tuple(replay.apply(change) for change in change_list)


def merge_changes(
    some: Iterable[Change], more: Iterable[Change]
) -> tuple[Change, ...]:
    """Merge two ranges of changes, sorted by revision, without duplicates."""
    by_revision = {change.revision: change for change in (*some, *more)}
    return tuple(by_revision[revision] for revision in sorted(by_revision))


def _starts_at_first_revision(changes: Sequence[Change]) -> bool:
    return bool(changes) and changes[0].revision == FIRST_REVISION


@attrs.define
class _Replay:
    """Entities after the changes replayed so far.

    `is_complete` is true if the replay starts with the first revision, so
    that an entity that has not been seen did not exist.
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
        reference = operation_reference(operation)
        is_known = self.is_complete or reference in self._seen
        before = self._seen.get(reference)
        after = operation.entity if isinstance(operation, Put) else None
        self._seen[reference] = after
        if is_known:
            return describe_operation(operation, before)
        return describe_without_previous(operation)
