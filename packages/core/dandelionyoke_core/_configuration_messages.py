"""What nodes tell each other of the configuration."""

import attrs

from dandelionyoke_core._entities import Change, Snapshot
from dandelionyoke_core._events import PeerMessage, SharedRecord

NEWS_KEY = 'config/news'
NEWS_LIFETIME_S = 86_400.0


@attrs.frozen
class ConfigurationNews(SharedRecord):
    """The newest changes; `version` is the revision after the last one."""

    changes: tuple[Change, ...] = ()


@attrs.frozen
class ConfigurationWanted(PeerMessage):
    """Ask a peer what it knows.

    `whole` asks for a snapshot where the peer no longer has the changes
    after `revision`.
    """

    question_number: int
    revision: int
    whole: bool


@attrs.frozen
class ConfigurationOffered(PeerMessage):
    """What a peer knows, and how old that is (None: never confirmed)."""

    question_number: int
    revision: int
    age_s: float | None
    changes: tuple[Change, ...] = ()
    snapshot: Snapshot | None = None


def make_news(revision: int, changes: tuple[Change, ...]) -> ConfigurationNews:
    """Make the record that tells of a revision."""
    return ConfigurationNews(
        record_key=NEWS_KEY,
        version=revision,
        lifetime_s=NEWS_LIFETIME_S,
        changes=changes,
    )
