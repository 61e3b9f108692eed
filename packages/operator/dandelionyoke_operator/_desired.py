"""Computes the configuration that a file asks for."""

from collections.abc import Iterable

import attrs

from dandelionyoke_core import (
    ApiKey,
    Change,
    Put,
    Remove,
    Section,
    Snapshot,
)
from dandelionyoke_operator._configuration import Configuration
from dandelionyoke_operator._mistakes import ConfigurationMistakes, Mistake

_WITHDRAWN_REMEDY = (
    'Remove the section and issue a new key, or undo the withdrawal '
    'if it was a mistake'
)


def desired_snapshot(file: Configuration, current: Snapshot) -> Snapshot:
    """Return the configuration that a file asks for.

    If a file declares no key, the keys in force are kept for organisations
    that remain. Otherwise applying a file that was written before a key was
    issued would withdraw that key unintentionally.
    """
    desired = attrs.evolve(file.snapshot, revision=current.revision)
    if file.names_keys:
        return desired
    kept = {
        key_hash: key
        for key_hash, key in current.keys.items()
        if key.organisation_id in desired.organisations
    }
    return attrs.evolve(desired, keys=kept)


def reject_withdrawn_keys(
    key_hashes: Iterable[str], changes: Iterable[Change]
) -> None:
    """Reject keys that were withdrawn earlier.

    A file that was printed before a withdrawal still lists the key. Applying
    it later for another reason would give the holder of a leaked key access
    again without anyone noticing.

    Raises:
        ConfigurationMistakes: lists each such key.
    """
    change_list = tuple(changes)
    mistakes = []
    for key_hash in sorted(key_hashes):
        revision = _withdrawal_revision(key_hash, change_list)
        if revision is not None:
            header = f'{Section.KEY.value} {key_hash}'
            found = f'a key that revision {revision} withdrew'
            mistakes.append(Mistake(header, '', found, _WITHDRAWN_REMEDY))
    if mistakes:
        raise ConfigurationMistakes(mistakes)


def _withdrawal_revision(
    key_hash: str, changes: Iterable[Change]
) -> int | None:
    revision = None
    for change in changes:
        for operation in change.operations:
            match operation:
                case Remove(Section.KEY, name) if name == key_hash:
                    revision = change.revision
                case Put(ApiKey() as key) if key.key_hash == key_hash:
                    revision = None
    return revision
