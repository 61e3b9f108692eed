"""Works out how to undo a change, from the audit trail."""

from collections.abc import Iterable, Iterator

from dandelionyoke_core import Change, Loaded, Operation, Put, Remove
from dandelionyoke_operator._audit_trail import FIRST_REVISION
from dandelionyoke_operator._difference import (
    EntityReference,
    operation_reference,
)
from dandelionyoke_operator._errors import InvalidError


def inverse_operations(loaded: Loaded, revision: int) -> tuple[Operation, ...]:
    """Tell the operations that undo one change and leave all later ones.

    Raises:
        InvalidError: the revision is unknown, or a later change is about
            the same section, so that undoing one would undo both.
    """
    undone = _find_change(loaded.changes, revision)
    earlier = [each for each in loaded.changes if each.revision < revision]
    later = [each for each in loaded.changes if each.revision > revision]
    places = dict.fromkeys(
        operation_reference(each) for each in undone.operations
    )
    _reject_overlap(places, undone, later)
    return tuple(
        operation
        for place in places
        for operation in _restore_entity(place, undone, earlier)
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
    places: Iterable[EntityReference], undone: Change, later: Iterable[Change]
) -> None:
    touched = {
        operation_reference(operation): change.revision
        for change in later
        for operation in change.operations
    }
    for place in places:
        if place not in touched:
            continue
        section, name = place
        raise InvalidError(
            f'Revision {touched[place]} changed [{section.value} {name}] '
            f'after revision {undone.revision}',
            f'Undo revision {touched[place]} first, or edit what `show` '
            'prints and apply it',
        )


def _restore_entity(
    place: EntityReference, undone: Change, earlier: list[Change]
) -> Iterator[Operation]:
    """Bring one entity back to what the last change before made of it."""
    section, name = place
    before = _last_operation(place, earlier)
    first = (*earlier, undone)[0].revision
    if isinstance(before, Put):
        yield before
        return
    if before is None and first > FIRST_REVISION:
        raise InvalidError(
            f'What [{section.value} {name}] was before lies further back '
            f'than revision {first}',
            'Read more changes with --limit',
        )
    if isinstance(_last_operation(place, [undone]), Put):
        yield Remove(section, name)


def _last_operation(
    place: EntityReference, changes: Iterable[Change]
) -> Operation | None:
    found = None
    for change in changes:
        for operation in change.operations:
            if operation_reference(operation) == place:
                found = operation
    return found
