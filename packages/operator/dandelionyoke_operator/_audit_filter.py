"""Filters for the changes in the audit trail."""

from collections.abc import Iterable

from dandelionyoke_core import (
    ApiKey,
    Change,
    Operation,
    Organisation,
    Put,
    Remove,
    Section,
)


def affects_organisation(
    change: Change, organisation: str, changes: Iterable[Change]
) -> bool:
    """Return whether a change affects an organisation or one of its keys."""
    hashes = key_hashes(organisation, changes)
    return any(
        _affects(operation, organisation, hashes)
        for operation in change.operations
    )


def key_hashes(organisation: str, changes: Iterable[Change]) -> frozenset[str]:
    """Return the hashes of all current and past keys of an organisation."""
    return frozenset(
        operation.entity.key_hash
        for change in changes
        for operation in change.operations
        if isinstance(operation, Put)
        and isinstance(operation.entity, ApiKey)
        and operation.entity.organisation_id == organisation
    )


def _affects(
    operation: Operation, organisation: str, hashes: frozenset[str]
) -> bool:
    match operation:
        case Put(Organisation() | ApiKey() as entity):
            return entity.organisation_id == organisation
        case Remove(Section.ORGANISATION, name):
            return name == organisation
        case Remove(Section.KEY, name):
            return name in hashes
    return False
