"""The messages about the configuration between nodes."""

import attrs

from dandelionyoke_core._entities import Change, Snapshot
from dandelionyoke_core._events import PeerMessage, SharedRecord

NEWS_KEY = 'config/news'
NEWS_LIFETIME_S = 86_400.0


@attrs.frozen
class ConfigurationNews(SharedRecord):
    """Announce the newest changes; `version` is the resulting revision."""

    changes: tuple[Change, ...] = ()


@attrs.frozen
class ConfigurationWanted(PeerMessage):
    """Ask a peer for the changes after `revision`.

    `whole` asks for a snapshot if the peer no longer has these changes.
    """

    question_number: int
    revision: int
    whole: bool


@attrs.frozen
class ConfigurationOffered(PeerMessage):
    """The configuration of a peer, and its age (None: never confirmed)."""

    question_number: int
    revision: int
    age_s: float | None
    changes: tuple[Change, ...] = ()
    snapshot: Snapshot | None = None


def make_news(revision: int, changes: tuple[Change, ...]) -> ConfigurationNews:
    """Return the shared record that announces a revision."""
    return ConfigurationNews(
        record_key=NEWS_KEY,
        version=revision,
        lifetime_s=NEWS_LIFETIME_S,
        changes=changes,
    )
