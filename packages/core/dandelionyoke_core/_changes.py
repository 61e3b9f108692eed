"""Applying, validating and computing changes to a configuration."""

from collections.abc import Callable, Iterator, Mapping
from types import MappingProxyType
from typing import Any

import attrs

from dandelionyoke_core._entities import (
    ApiKey,
    Change,
    Entity,
    Model,
    Operation,
    Organisation,
    Put,
    Remove,
    Section,
    Service,
    Snapshot,
)
from dandelionyoke_core._errors import ConfigurationError

MAX_PRIORITY = 9
KEY_HASH_LENGTH = 64

_SECTION_BY_TYPE: Mapping[type[Any], Section] = MappingProxyType(
    {
        Organisation: Section.ORGANISATION,
        ApiKey: Section.KEY,
        Service: Section.SERVICE,
        Model: Section.MODEL,
    }
)
_SNAPSHOT_FIELDS: Mapping[Section, str] = MappingProxyType(
    {
        Section.ORGANISATION: 'organisations',
        Section.KEY: 'keys',
        Section.SERVICE: 'services',
        Section.MODEL: 'models',
    }
)
_NAME_FIELDS: Mapping[Section, str] = MappingProxyType(
    {
        Section.ORGANISATION: 'organisation_id',
        Section.KEY: 'key_hash',
        Section.SERVICE: 'service_name',
        Section.MODEL: 'model_name',
    }
)


@attrs.frozen
class Problem:
    """A validation error in a configuration, with a suggested remedy."""

    subject: str
    detail: str
    remedy: str


def apply_change(snapshot: Snapshot, change: Change) -> Snapshot:
    """Return the configuration that results from a change.

    Raises:
        ConfigurationError: the change is not for the next revision, or it
            removes an entity that does not exist.
    """
    if change.revision != snapshot.revision + 1:
        raise ConfigurationError(
            f'Change {change.revision} does not follow revision '
            f'{snapshot.revision}',
            'Read the changes in between first',
        )
    content = {
        section: dict(getattr(snapshot, field))
        for section, field in _SNAPSHOT_FIELDS.items()
    }
    for operation in change.operations:
        _apply_operation(content, operation)
    fields: dict[str, Any] = {
        _SNAPSHOT_FIELDS[section]: entities
        for section, entities in content.items()
    }
    return Snapshot(revision=change.revision, **fields)


def validate(snapshot: Snapshot) -> tuple[Problem, ...]:
    """Check a whole configuration and return all problems found."""
    checks: tuple[Callable[[Snapshot], Iterator[Problem]], ...] = (
        _check_organisations,
        _check_keys,
        _check_services,
        _check_models,
    )
    return tuple(problem for check in checks for problem in check(snapshot))


def diff_snapshots(old: Snapshot, new: Snapshot) -> tuple[Operation, ...]:
    """Return the operations that turn `old` into `new`."""
    operations: list[Operation] = []
    for section, field in _SNAPSHOT_FIELDS.items():
        before = getattr(old, field)
        after = getattr(new, field)
        operations.extend(
            Remove(section, name) for name in sorted(before.keys() - after)
        )
        operations.extend(
            Put(after[name])
            for name in sorted(after)
            if before.get(name) != after[name]
        )
    return tuple(operations)


def revoked_keys(old: Snapshot, new: Snapshot) -> tuple[str, ...]:
    """Return the hashes of keys in `old` that are no longer valid in `new`.

    A key stops being valid when it is removed, moves to another
    organisation, or its organisation is removed.
    """
    return tuple(
        key_hash
        for key_hash, key in sorted(old.keys.items())
        if not _is_key_valid(key, new)
    )


def _is_key_valid(key: ApiKey, snapshot: Snapshot) -> bool:
    current = snapshot.keys.get(key.key_hash)
    return (
        current is not None
        and current.organisation_id == key.organisation_id
        and key.organisation_id in snapshot.organisations
    )


def _apply_operation(
    content: dict[Section, dict[str, Entity]], operation: Operation
) -> None:
    if isinstance(operation, Put):
        section = _SECTION_BY_TYPE[type(operation.entity)]
        name = getattr(operation.entity, _NAME_FIELDS[section])
        content[section][name] = operation.entity
        return
    if operation.name not in content[operation.section]:
        raise ConfigurationError(
            f'There is no {operation.section.value} {operation.name!r}',
            'Read the configuration again and plan the change on it',
        )
    content[operation.section].pop(operation.name)


def _check_organisations(snapshot: Snapshot) -> Iterator[Problem]:
    for organisation in snapshot.organisations.values():
        subject = f'organisation {organisation.organisation_id}'
        if not 0 <= organisation.priority <= MAX_PRIORITY:
            yield Problem(
                subject,
                f'priority {organisation.priority} is out of range',
                f'Choose 0 to {MAX_PRIORITY}',
            )
        limits = (
            organisation.weight,
            organisation.tokens_per_s,
            organisation.requests_per_s,
            organisation.concurrent_requests,
        )
        if min(limits) <= 0:
            yield Problem(
                subject,
                'a weight or limit is not above 0',
                'Set every weight and limit above 0',
            )
        age_limit_s = organisation.knowledge_age_limit_s
        if age_limit_s is not None and age_limit_s <= 0:
            yield Problem(
                subject,
                'knowledge_age_limit_s is not above 0',
                'Set it above 0, or leave it out',
            )


def _check_keys(snapshot: Snapshot) -> Iterator[Problem]:
    for key in snapshot.keys.values():
        subject = f'key {key.key_hash[:8]}'
        if key.organisation_id not in snapshot.organisations:
            yield Problem(
                subject,
                f'there is no organisation {key.organisation_id}',
                'Declare the organisation, or remove the key',
            )
        if not _is_sha256_hex(key.key_hash):
            yield Problem(
                subject,
                'key_hash is not a SHA-256 digest in lower-case hex',
                'Store the hash of the key, never the key itself',
            )


def _is_sha256_hex(text: str) -> bool:
    return len(text) == KEY_HASH_LENGTH and set(text) <= set('0123456789abcdef')


def _check_services(snapshot: Snapshot) -> Iterator[Problem]:
    for service in snapshot.services.values():
        subject = f'service {service.service_name}'
        if not 0 <= service.reclaimable_share <= 1:
            yield Problem(
                subject, 'reclaimable_share is out of range', 'Choose 0 to 1'
            )
        if not 0 <= service.min_targets <= service.max_targets:
            yield Problem(
                subject,
                'min_targets is below 0 or above max_targets',
                'Choose 0 <= min_targets <= max_targets',
            )
        for call in service.unrepeatable:
            if not _is_method_and_path(call):
                yield Problem(
                    subject,
                    f'unrepeatable call {call!r} is malformed',
                    'Write it as METHOD /path',
                )


def _is_method_and_path(text: str) -> bool:
    method, _, path = text.partition(' ')
    return method.isupper() and path.startswith('/')


def _check_models(snapshot: Snapshot) -> Iterator[Problem]:
    for model in snapshot.models.values():
        subject = f'model {model.model_name}'
        if model.service_name not in snapshot.services:
            yield Problem(
                subject,
                f'there is no service {model.service_name}',
                'Declare the service, or remove the model',
            )
        if model.context_tokens <= 0:
            yield Problem(
                subject, 'context_tokens is not above 0', 'Set it above 0'
            )
