"""A call runs for the organisation of its key, or is refused truthfully."""

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

PATIENT = Organisation(OrganisationId('patient'))
STRICT = Organisation(OrganisationId('strict'), knowledge_age_limit_s=60)
OWNERS = {'patient key': PATIENT, 'strict key': STRICT}
SNAPSHOT = Snapshot(
    revision=3,
    organisations={owner.organisation_id: owner for owner in OWNERS.values()},
    keys={
        hash_key(key): ApiKey(hash_key(key), owner.organisation_id)
        for key, owner in OWNERS.items()
    },
)


class FixedDirectory:
    def __init__(self, snapshot: Snapshot, age_s: float | None) -> None:
        self.snapshot = snapshot
        self._age_s = age_s

    def knowledge_age_s(self, now_s: float) -> float | None:
        return self._age_s


def authenticate(key, snapshot=SNAPSHOT, age_s=1.0):
    return KeysPart(FixedDirectory(snapshot, age_s)).authenticate(key, 0)


class KeysTest(testtools.TestCase):
    def test_a_key_stands_for_its_organisation(self) -> None:
        for key, owner in OWNERS.items():
            self.assertEqual(Identity(owner, hash_key(key)), authenticate(key))

    @given(strategies.text().filter(lambda key: key not in OWNERS))
    def test_no_other_text_is_a_key(self, key: str) -> None:
        self.assertEqual(RefusalKind.UNAUTHENTICATED, authenticate(key).kind)

    def test_refusals_say_what_is_so(self) -> None:
        """An entry knows nothing yet, or was cut off for long.

        A caller whose key is fine must not hear that it is wrong, and has
        to learn when to come back; nothing of its call was run.
        """
        empty = Snapshot()
        orphaned = Snapshot(revision=3, keys=SNAPSHOT.keys)
        unknown = RefusalKind.UNAUTHENTICATED
        nothing = RefusalKind.NO_KNOWLEDGE
        for key, snapshot, age_s, kind in (
            ('patient key', empty, None, nothing),
            ('patient key', empty, 1.0, unknown),
            ('other key', SNAPSHOT, 1.0, unknown),
            ('other key', SNAPSHOT, None, unknown),
            ('patient key', orphaned, 1.0, unknown),
            ('patient key', SNAPSHOT, 1e6, None),
            ('patient key', SNAPSHOT, None, None),
            ('strict key', SNAPSHOT, 60.0, None),
            ('strict key', SNAPSHOT, 60.1, nothing),
            ('strict key', SNAPSHOT, None, nothing),
        ):
            answer = authenticate(key, snapshot, age_s)
            if kind is None:
                self.assertEqual(OWNERS[key], answer.organisation)
                continue
            self.assertEqual(kind, answer.kind, (key, age_s))
            self.assertEqual(RunState.NO, answer.run)
            comes_back = answer.retry_after_s is not None
            self.assertEqual(kind is nothing, comes_back)

    def test_an_old_refusal_tells_the_age(self) -> None:
        self.assertIn('300 s ago', authenticate('new key', age_s=300).detail)
