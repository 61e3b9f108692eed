"""What a file asks for, seen from what is in force."""

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


def desired_snapshot(file: Configuration, present: Snapshot) -> Snapshot:
    """Tell the configuration that a file asks for.

    A file that names no key says nothing about keys: those in force stay,
    as long as their organisation does. Otherwise a file written before a
    key was issued would withdraw that key unasked.
    """
    wanted = attrs.evolve(file.snapshot, revision=present.revision)
    if file.names_keys:
        return wanted
    kept = {
        key_hash: key
        for key_hash, key in present.keys.items()
        if key.organisation_id in wanted.organisations
    }
    return attrs.evolve(wanted, keys=kept)


def reject_withdrawn_keys(
    key_hashes: Iterable[str], changes: Iterable[Change]
) -> None:
    """Refuse to bring a withdrawn key back by way of an old file.

    A file that was printed before a withdrawal still lists the key. Applied
    later for another reason it would let the holder of a leaked key in
    again, and nobody would notice.

    Raises:
        ConfigurationMistakes: names each such key.
    """
    trail = tuple(changes)
    mistakes = []
    for key_hash in sorted(key_hashes):
        revision = _withdrawal_revision(key_hash, trail)
        if revision is not None:
            title = f'{Section.KEY.value} {key_hash}'
            found = f'a key that revision {revision} withdrew'
            mistakes.append(Mistake(title, '', found, _WITHDRAWN_REMEDY))
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
