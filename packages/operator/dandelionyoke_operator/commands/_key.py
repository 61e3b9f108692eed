"""Issues and withdraws keys."""

from typing import Protocol

import attrs

from dandelionyoke_core import (
    ApiKey,
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
from dandelionyoke_operator._repository import Intent
from dandelionyoke_operator.commands._commit import commit

# A change of one key fits after any other change, so a lost race is run
# again; the bound keeps a store that always conflicts from holding the
# operator for good.
ATTEMPTS = 5

MIN_PREFIX_LENGTH = 8


def issue_key(invocation: Invocation) -> KeyReport | ConflictReport:
    """Make a key, keep its hash, and give the key out this once.

    The key is shown only after the change is known to be in the store: a
    key that the operator reads to a customer must not be one that was lost.
    """
    bearer_key = invocation.environment.new_key()
    entity = ApiKey(
        key_hash=hash_key(bearer_key),
        organisation_id=OrganisationId(invocation.argument('organisation')),
        label=invocation.option('label') or '',
    )
    report = _commit_anyhow(invocation, _Issue(entity))
    if isinstance(report, ConflictReport):
        return report
    return KeyReport(bearer_key, entity.key_hash, report)


def withdraw_key(invocation: Invocation) -> CommitReport | ConflictReport:
    """Withdraw a key, named by the beginning of its hash or by itself."""
    wanted = invocation.argument('key')
    if wanted == STANDARD_INPUT:
        wanted = invocation.environment.stdin.readline().strip()
    return _commit_anyhow(invocation, _Withdrawal(wanted))


class _KeyStep(Protocol):
    """A change of one key, planned anew on each revision that it meets."""

    def intent(self, invocation: Invocation, before: Snapshot) -> Intent:
        """Plan the change on a snapshot."""


@attrs.frozen
class _Issue:
    key: ApiKey

    def intent(self, invocation: Invocation, before: Snapshot) -> Intent:
        organisation = self.key.organisation_id
        if organisation not in before.organisations:
            known = ', '.join(sorted(before.organisations)) or 'none'
            raise InvalidError(
                f'There is no organisation {organisation!r}',
                f'Name one of these: {known}',
            )
        # A label that no file can hold would make the configuration in
        # force one that `show` cannot print.
        mistakes = find_mistakes((before.organisations[organisation], self.key))
        if mistakes:
            raise ConfigurationMistakes(mistakes)
        reason = f'issue a key for {organisation}'
        return Intent(
            invocation.author,
            invocation.reason_or(reason),
            (Put(self.key),),
            before.revision,
        )


@attrs.frozen
class _Withdrawal:
    wanted: str

    def intent(self, invocation: Invocation, before: Snapshot) -> Intent:
        found = self._find(before)
        reason = f'withdraw a key of {found.organisation_id}'
        return Intent(
            invocation.author,
            invocation.reason_or(reason),
            (Remove(Section.KEY, found.key_hash),),
            before.revision,
        )

    def _find(self, before: Snapshot) -> ApiKey:
        own_hash = hash_key(self.wanted)
        matching = [
            key
            for key_hash, key in before.keys.items()
            if key_hash == own_hash or self._is_prefix_of(key_hash)
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

    def _is_prefix_of(self, key_hash: str) -> bool:
        long_enough = len(self.wanted) >= MIN_PREFIX_LENGTH
        return long_enough and key_hash.startswith(self.wanted)


def _commit_anyhow(
    invocation: Invocation, step: _KeyStep
) -> CommitReport | ConflictReport:
    platform = invocation.platform()
    for _ in range(ATTEMPTS):
        before = invocation.repository(platform).load().snapshot
        intent = step.intent(invocation, before)
        report = commit(invocation, platform, intent, before)
        if isinstance(report, CommitReport):
            break
    return report
