"""Commands that issue and withdraw keys.

A change of one key can be applied to any revision, so it has no base
revision. Issuing a key therefore never conflicts with a concurrent change.
"""

from dandelionyoke_core import (
    ApiKey,
    Operation,
    Organisation,
    OrganisationId,
    Put,
    Remove,
    Section,
    Snapshot,
    hash_key,
)
from dandelionyoke_operator._errors import InvalidError
from dandelionyoke_operator._invocation import STANDARD_INPUT, Invocation
from dandelionyoke_operator._mistake_finder import find_mistakes
from dandelionyoke_operator._mistakes import ConfigurationMistakes
from dandelionyoke_operator._reports import (
    CommitReport,
    ConflictReport,
    KeyReport,
)
from dandelionyoke_operator._repository import ChangeRequest
from dandelionyoke_operator.commands._commit import commit

MIN_PREFIX_LENGTH = 8


def issue_key(invocation: Invocation) -> KeyReport | ConflictReport:
    """Generate a key, store its hash, and return the key once.

    The key is shown only after the change is known to be in the store, so
    that the operator never gives a customer a key that was not stored.
    """
    platform = invocation.platform()
    before = invocation.repository(platform).load().snapshot
    organisation = _find_organisation(invocation, before)
    bearer_key = invocation.environment.new_key()
    key = ApiKey(
        key_hash=hash_key(bearer_key),
        organisation_id=organisation.organisation_id,
        label=invocation.option('label') or '',
    )
    # With a label that is not valid in a file, `show` could no longer print
    # the configuration in force.
    mistakes = find_mistakes((organisation, key))
    if mistakes:
        raise ConfigurationMistakes(mistakes)
    reason = f'issue a key for {organisation.organisation_id}'
    change = _change_request(invocation, reason, Put(key))
    report = commit(invocation, platform, change, before)
    if isinstance(report, ConflictReport):
        return report
    return KeyReport(bearer_key, key.key_hash, report)


def withdraw_key(invocation: Invocation) -> CommitReport | ConflictReport:
    """Withdraw a key, given by a prefix of its hash or the key itself."""
    platform = invocation.platform()
    before = invocation.repository(platform).load().snapshot
    key_or_prefix = invocation.argument('key')
    if key_or_prefix == STANDARD_INPUT:
        key_or_prefix = invocation.environment.stdin.readline().strip()
    key = _find_key(key_or_prefix, before)
    reason = f'withdraw a key of {key.organisation_id}'
    removal = Remove(Section.KEY, key.key_hash)
    change = _change_request(invocation, reason, removal)
    return commit(invocation, platform, change, before)


def _change_request(
    invocation: Invocation, reason: str, operation: Operation
) -> ChangeRequest:
    return ChangeRequest(
        author=invocation.author,
        reason=invocation.reason_or_default(reason),
        operations=(operation,),
    )


def _find_organisation(
    invocation: Invocation, before: Snapshot
) -> Organisation:
    name = OrganisationId(invocation.argument('organisation'))
    organisation = before.organisations.get(name)
    if organisation is not None:
        return organisation
    known = ', '.join(sorted(before.organisations)) or 'none'
    raise InvalidError(
        f'There is no organisation {name!r}',
        f'Name one of these: {known}',
    )


def _find_key(key_or_prefix: str, before: Snapshot) -> ApiKey:
    full_hash = hash_key(key_or_prefix)
    matching = [
        key
        for key_hash, key in before.keys.items()
        if key_hash == full_hash or _is_prefix(key_or_prefix, key_hash)
    ]
    if len(matching) == 1:
        return matching[0]
    problem = 'No key in force matches'
    if matching:
        problem = f'{len(matching)} keys in force match'
    raise InvalidError(
        problem,
        f'Give at least {MIN_PREFIX_LENGTH} characters of the hash, '
        'as `show` prints it',
    )


def _is_prefix(key_or_prefix: str, key_hash: str) -> bool:
    long_enough = len(key_or_prefix) >= MIN_PREFIX_LENGTH
    return long_enough and key_hash.startswith(key_or_prefix)
