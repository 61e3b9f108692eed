"""Authentication of callers by API key."""

import hashlib

import attrs

from dandelionyoke_core._entities import ApiKey, Organisation
from dandelionyoke_core._ports import ConfigurationView, Identity
from dandelionyoke_core._refusals import Refusal, RefusalKind

DEFAULT_RETRY_AFTER_S = 5.0
# Above this age of the configuration, refusals of unknown keys state the age.
STALE_KNOWLEDGE_AGE_S = 60.0


@attrs.frozen
class KeysSettings:
    """Settings of authentication.

    `retry_after_s` applies while the configuration is missing or too old.
    """

    retry_after_s: float = DEFAULT_RETRY_AFTER_S


def hash_key(bearer_key: str) -> str:
    """Return the hash under which the configuration stores a key."""
    return hashlib.sha256(bearer_key.encode()).hexdigest()


class KeysPart:
    """Find the organisation of a key in the current configuration.

    Keys are compared by their hashes. The duration of a look-up reveals at
    most something about the hash, and the key cannot be derived from it.
    """

    def __init__(
        self,
        configuration_view: ConfigurationView,
        settings: KeysSettings | None = None,
    ) -> None:
        self._configuration_view = configuration_view
        self._settings = settings or KeysSettings()

    def authenticate(self, bearer_key: str, now_s: float) -> Identity | Refusal:
        """Return the organisation of a key, or a refusal."""
        snapshot = self._configuration_view.snapshot
        age_s = self._configuration_view.knowledge_age_s(now_s)
        if snapshot.revision == 0 and age_s is None:
            return self._no_knowledge('This entry has no configuration yet')
        key = snapshot.keys.get(hash_key(bearer_key))
        if key is None:
            return _unknown_key(age_s)
        organisation = snapshot.organisations.get(key.organisation_id)
        if organisation is None:
            return _unknown_key(age_s)
        if _is_too_old(organisation, age_s):
            return self._no_knowledge(
                'This entry is cut off, and its configuration is older than '
                f'the limit of {organisation.organisation_id}'
            )
        return _identity(organisation, key)

    def _no_knowledge(self, detail: str) -> Refusal:
        return Refusal(
            kind=RefusalKind.NO_KNOWLEDGE,
            detail=detail,
            remedy='Call again; another entry may know more',
            retry_after_s=self._settings.retry_after_s,
        )


def _identity(organisation: Organisation, key: ApiKey) -> Identity:
    return Identity(organisation=organisation, key_hash=key.key_hash)


def _is_too_old(organisation: Organisation, age_s: float | None) -> bool:
    limit_s = organisation.knowledge_age_limit_s
    if limit_s is None:
        return False
    return age_s is None or age_s > limit_s


def _unknown_key(age_s: float | None) -> Refusal:
    detail = 'The key is not known'
    if age_s is None or age_s > STALE_KNOWLEDGE_AGE_S:
        age = 'an unknown time' if age_s is None else f'{age_s:.0f} s'
        detail = f'{detail} here; this entry last heard news {age} ago'
    return Refusal(
        kind=RefusalKind.UNAUTHENTICATED,
        detail=detail,
        remedy='Send a valid key as Authorization: Bearer <key>',
    )
