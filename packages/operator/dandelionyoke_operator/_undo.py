"""Computes the inverse of a change from the audit trail."""

from collections.abc import Iterable, Iterator

from dandelionyoke_core import Change, Loaded, Operation, Put, Remove
from dandelionyoke_operator._audit_trail import FIRST_REVISION
from dandelionyoke_operator._difference import (
    EntityReference,
    operation_reference,
)
from dandelionyoke_operator._errors import InvalidError


def inverse_operations(loaded: Loaded, revision: int) -> tuple[Operation, ...]:
    """Return operations that undo one change and keep all later ones.

    Raises:
        InvalidError: the revision is unknown, or a later change affects the
            same section, so that undoing this one would undo both.
    """
    undone = _find_change(loaded.changes, revision)
    earlier = [each for each in loaded.changes if each.revision < revision]
    later = [each for each in loaded.changes if each.revision > revision]
    references = dict.fromkeys(
        operation_reference(each) for each in undone.operations
    )
    _reject_overlap(references, undone, later)
    return tuple(
        operation
        for reference in references
        for operation in _restore_entity(reference, undone, earlier)
    )


def _find_change(changes: Iterable[Change], revision: int) -> Change:
    for change in changes:
        if change.revision == revision:
            return change
    raise InvalidError(
        f'Revision {revision} is not among the changes that were read',
        'Name a revision that `history` lists, or read more with --limit',
    )


def _reject_overlap(
    references: Iterable[EntityReference],
    undone: Change,
    later: Iterable[Change],
) -> None:
    changed_at = {
        operation_reference(operation): change.revision
        for change in later
        for operation in change.operations
    }
    for reference in references:
        if reference not in changed_at:
            continue
        section, name = reference
        raise InvalidError(
            f'Revision {changed_at[reference]} changed '
            f'[{section.value} {name}] after revision {undone.revision}',
            f'Undo revision {changed_at[reference]} first, or edit what `show` '
            'prints and apply it',
        )


def _restore_entity(
    reference: EntityReference, undone: Change, earlier: list[Change]
) -> Iterator[Operation]:
    """Yield the operation that restores an entity's state before a change."""
    section, name = reference
    before = _last_operation(reference, earlier)
    first_read = (*earlier, undone)[0].revision
    if isinstance(before, Put):
        yield before
        return
    if before is None and first_read > FIRST_REVISION:
        raise InvalidError(
            f'What [{section.value} {name}] was before lies further back '
            f'than revision {first_read}',
            'Read more changes with --limit',
        )
    if isinstance(_last_operation(reference, [undone]), Put):
        yield Remove(section, name)


def _last_operation(
    reference: EntityReference, changes: Iterable[Change]
) -> Operation | None:
    last = None
    for change in changes:
        for operation in change.operations:
            if operation_reference(operation) == reference:
                last = operation
    return last
