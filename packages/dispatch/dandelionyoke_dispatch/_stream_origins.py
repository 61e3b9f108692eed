"""Where streams began, and which nodes keep that.

What two versions of an engine's software write does not fit together, so a
stream goes on only at the version that began it. Its caller may come back to
any node, also when the one that began it is gone.
"""

import hashlib
from collections.abc import Sequence

import attrs

from dandelionyoke_core import rendezvous
from dandelionyoke_dispatch._sources import Member
from dandelionyoke_dispatch._version_history import StreamOrigin

KEY_BYTES = 12
# Streams share rankings of the nodes: one for each stream costs a hash of each
# node.
RANKING_COUNT = 1024


def stream_key(attempt_id: str) -> str:
    """Return a key of fixed size for the attempt that began a stream."""
    digest = hashlib.blake2b(attempt_id.encode(), digest_size=KEY_BYTES)
    return digest.hexdigest()


@attrs.frozen
class _Record:
    origin: StreamOrigin
    recorded_s: float


class StreamOrigins:
    """The origins of streams by key, the oldest first."""

    def __init__(self, max_records: int) -> None:
        self._max_records = max_records
        self._records: dict[str, _Record] = {}

    def record(
        self, key: str, origin: StreamOrigin, now_s: float, lifetime_s: float
    ) -> None:
        """Add or renew an origin; drop those that are too old or too many."""
        self._records.pop(key, None)
        self._records[key] = _Record(origin, now_s)
        while len(self._records) > self._max_records:
            self._drop_oldest()
        self.drop_older(now_s - lifetime_s)

    def forget(self, key: str) -> None:
        """Drop a stream, if it is known."""
        self._records.pop(key, None)

    def drop_older(self, since_s: float) -> None:
        """Drop the streams that were recorded before a time."""
        while self._records and self._oldest().recorded_s < since_s:
            self._drop_oldest()

    def all(self) -> Sequence[tuple[str, StreamOrigin]]:
        """Return all streams, the oldest first."""
        return [(key, record.origin) for key, record in self._records.items()]

    def find(self, key: str) -> StreamOrigin | None:
        """Return the origin of a stream; None if it is not known."""
        record = self._records.get(key)
        return None if record is None else record.origin

    def __len__(self) -> int:
        """Return the number of streams."""
        return len(self._records)

    def _oldest(self) -> _Record:
        return next(iter(self._records.values()))

    def _drop_oldest(self) -> None:
        self._records.pop(next(iter(self._records)))


class KeeperRanking:
    """Ranks the nodes that keep the origin of a stream.

    All nodes that know the same members agree without a message.
    """

    def __init__(self) -> None:
        self._members: Sequence[Member] = ()
        self._rankings: dict[int, Sequence[Member]] = {}

    def keepers(self, members: Sequence[Member], key: str) -> Sequence[Member]:
        """Return all members, the best of each failure domain first."""
        if members != self._members:
            self._rankings.clear()
        self._members = members
        number = int(key, 16) % RANKING_COUNT
        ranking = self._rankings.get(number)
        if ranking is None:
            ranking = _rank(members, str(number))
            self._rankings[number] = ranking
        return ranking


def _rank(members: Sequence[Member], subject: str) -> Sequence[Member]:
    by_id = {
        member.instance_id: member for member in members if member.keeps_origins
    }
    domains: set[str] = set()
    first: list[Member] = []
    others: list[Member] = []
    for name in rendezvous(by_id, subject, len(by_id)):
        member = by_id[name]
        (others if member.domain in domains else first).append(member)
        domains.add(member.domain)
    return (*first, *others)
