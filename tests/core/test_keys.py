"""Tests of the authentication of callers by API key."""

import testtools
from hypothesis import given, strategies

from dandelionyoke_core import (
    ApiKey,
    Identity,
    KeysPart,
    Organisation,
    OrganisationId,
    RefusalKind,
    RunState,
    Snapshot,
    hash_key,
)

UNLIMITED_AGE = Organisation(OrganisationId('unlimited'))
LIMITED_AGE = Organisation(OrganisationId('limited'), knowledge_age_limit_s=60)
OWNERS = {'unlimited key': UNLIMITED_AGE, 'limited key': LIMITED_AGE}
SNAPSHOT = Snapshot(
    revision=3,
    organisations={owner.organisation_id: owner for owner in OWNERS.values()},
    keys={
        hash_key(key): ApiKey(hash_key(key), owner.organisation_id)
        for key, owner in OWNERS.items()
    },
)


class FixedConfigurationView:
    def __init__(self, snapshot: Snapshot, age_s: float | None) -> None:
        self.snapshot = snapshot
        self._age_s = age_s

    def knowledge_age_s(self, now_s: float) -> float | None:
        return self._age_s


def authenticate(key, snapshot=SNAPSHOT, age_s=1.0):
    return KeysPart(FixedConfigurationView(snapshot, age_s)).authenticate(
        key, 0
    )


class KeysTest(testtools.TestCase):
    def test_a_key_identifies_its_organisation(self) -> None:
        for key, owner in OWNERS.items():
            self.assertEqual(Identity(owner, hash_key(key)), authenticate(key))

    @given(strategies.text().filter(lambda key: key not in OWNERS))
    def test_any_other_text_is_refused(self, key: str) -> None:
        self.assertEqual(RefusalKind.UNAUTHENTICATED, authenticate(key).kind)

    def test_refusals_distinguish_wrong_keys_from_missing_knowledge(
        self,
    ) -> None:
        """The configuration of an entry is missing or too old.

        A caller with a valid key must not be told that the key is invalid. It
        must be told when to retry and that its call did not run.
        """
        empty = Snapshot()
        orphaned = Snapshot(revision=3, keys=SNAPSHOT.keys)
        unauthenticated = RefusalKind.UNAUTHENTICATED
        no_knowledge = RefusalKind.NO_KNOWLEDGE
        for key, snapshot, age_s, kind in (
            ('unlimited key', empty, None, no_knowledge),
            ('unlimited key', empty, 1.0, unauthenticated),
            ('other key', SNAPSHOT, 1.0, unauthenticated),
            ('other key', SNAPSHOT, None, unauthenticated),
            ('unlimited key', orphaned, 1.0, unauthenticated),
            ('unlimited key', SNAPSHOT, 1e6, None),
            ('unlimited key', SNAPSHOT, None, None),
            ('limited key', SNAPSHOT, 60.0, None),
            ('limited key', SNAPSHOT, 60.1, no_knowledge),
            ('limited key', SNAPSHOT, None, no_knowledge),
        ):
            answer = authenticate(key, snapshot, age_s)
            if kind is None:
                self.assertEqual(OWNERS[key], answer.organisation)
                continue
            self.assertEqual(kind, answer.kind, (key, age_s))
            self.assertEqual(RunState.NO, answer.run)
            has_retry_delay = answer.retry_after_s is not None
            self.assertEqual(kind is no_knowledge, has_retry_delay)

    def test_a_refusal_states_the_age_of_an_old_configuration(self) -> None:
        self.assertIn('300 s ago', authenticate('new key', age_s=300).detail)
