"""Messages with which nodes keep the origins of streams for each other.

Nodes of earlier versions end a link on which such a message arrives, and get
none: their entries among the members say so.
"""

import attrs

from dandelionyoke_core import PeerMessage
from dandelionyoke_dispatch import StreamOrigin


@attrs.frozen
class OriginNoted(PeerMessage):
    """The origin of a stream that has its first event now, or goes on."""

    key: str
    origin: StreamOrigin


@attrs.frozen
class OriginAsked(PeerMessage):
    """Request for the origin of a stream; `number` identifies the request."""

    number: int
    key: str


@attrs.frozen
class OriginTold(PeerMessage):
    """Answer to an `OriginAsked` with the same number."""

    number: int
    origin: StreamOrigin | None = None
