"""Messages with which a node polls another node instead of the store.

Times in an answer are relative to the arrival of the request. The receiver
adds them to the time at which it sent the request, which is before that
arrival: data never seems newer than it is, however long the answer took.
"""

import attrs

from dandelionyoke_core import PeerMessage, revision_in
from dandelionyoke_dispatch import (
    CountsParcel,
    CrashReport,
    DemandSample,
    ListingChanges,
    ListingMark,
    Member,
    StreamGroup,
    TargetLimitNote,
)


@attrs.frozen
class NewsAsked(PeerMessage):
    """Long-poll request; the answer waits up to `hold_s` for a change.

    `process` identifies the requesting process as the owner of the usage
    counts that it hands over in `parcel`. `wants_configuration` asks for the
    configuration whatever its size; it is set by a node that failed to read
    it from the store. `member` is the requesting node's own entry, as the
    receiver may not have listed it yet. `limits_version` is that of the last
    answer, None from a node that knows no limits of targets. `crash_mark` is
    that of the last answer, None from a node that has had none.
    `configuration_revision` is the store's number in `configuration_era`.
    `streams` are the open ones of the node that the receiver is to save.
    """

    number: int
    process: str
    hold_s: float
    configuration_revision: int
    wants_configuration: bool = False
    mark: ListingMark | None = None
    parcel: CountsParcel | None = None
    demand: DemandSample | None = None
    member: Member | None = None
    limits_version: int | None = None
    crash_mark: str | None = None
    configuration_era: int = 0
    streams: tuple[StreamGroup, ...] = ()

    def held_revision(self, present_era: int) -> int:
        """Return the revision of the configuration that the node has.

        A node that names no era, of a version before eras, is taken to be in
        the present one.
        """
        return revision_in(
            self.configuration_era or present_era, self.configuration_revision
        )


@attrs.frozen
class ConfigurationNews:
    """The latest revision, and when it was last confirmed to be the latest.

    `revision` is the store's number in `era`, 0 from a node that knows none.

    `proven_after_s` is the time of the confirmation and may be negative.
    `packed` is the compressed text: a few hundred organisations and routes
    take a few KB.
    """

    revision: int
    proven_after_s: float
    packed: bytes | None = None
    era: int = 0

    @property
    def told_revision(self) -> int:
        """The revision of the configuration at the node that answers."""
        return revision_in(self.era, self.revision)


@attrs.frozen
class TargetNews:
    """Registry changes, and when the listing was last confirmed with them."""

    proven_after_s: float
    changes: ListingChanges


@attrs.frozen
class NewsTold(PeerMessage):
    """Answer to a `NewsAsked`; fields that the sender lacks are None.

    `limits_version` changes with the limits of targets at the sender.
    `crash_reports` are those after the mark of the request.
    """

    number: int
    configuration: ConfigurationNews | None = None
    targets: TargetNews | None = None
    saved_parcel: int = 0
    demand: DemandSample | None = None
    limits: tuple[TargetLimitNote, ...] = ()
    limits_version: int = 0
    crash_reports: tuple[CrashReport, ...] = ()
    crash_mark: str | None = None
