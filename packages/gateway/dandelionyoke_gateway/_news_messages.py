"""What a node asks another one instead of the store, and the answer.

Times in an answer count from the arrival of the question. The asker adds them
to the moment at which it asked, which lies before that arrival: knowledge
never seems newer than it is, however long the answer was on its way.
"""

import attrs

from dandelionyoke_core import PeerMessage
from dandelionyoke_dispatch import (
    CountsParcel,
    CrashNote,
    DemandSample,
    ListingChanges,
    ListingMark,
)


@attrs.frozen
class NewsAsked(PeerMessage):
    """A question; the answer waits up to `hold_s` for a change.

    `process` names the asking process, under which it hands counts over.
    `wants_configuration` is set by a node that cannot read it from the store,
    however large it is.
    """

    number: int
    process: str
    hold_s: float
    configuration_revision: int
    wants_configuration: bool = False
    mark: ListingMark | None = None
    parcel: CountsParcel | None = None
    demand: DemandSample | None = None


@attrs.frozen
class ConfigurationNews:
    """The newest revision, and when it was proven to be that.

    `proven_after_s` may be negative. `packed` is the text, compressed: some
    hundred organisations and routes become a few KB.
    """

    revision: int
    proven_after_s: float
    packed: bytes | None = None


@attrs.frozen
class TargetNews:
    """Changes of the registry, and when the listing was true with them."""

    proven_after_s: float
    changes: ListingChanges


@attrs.frozen
class NewsTold(PeerMessage):
    """The answer; what its sender does not know is left out."""

    number: int
    configuration: ConfigurationNews | None = None
    targets: TargetNews | None = None
    crashes: tuple[CrashNote, ...] = ()
    saved_parcel: int = 0
    demand: DemandSample | None = None
