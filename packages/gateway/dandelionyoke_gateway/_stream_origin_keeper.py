"""Keeps the origins of streams, together with other nodes."""

import contextlib
import enum
import itertools
import math
from collections.abc import Sequence

import attrs
import eventlet
from eventlet.queue import Empty, LightQueue

from dandelionyoke_core import (
    Event,
    InstanceId,
    PeerMessage,
    PeerMessageArrived,
)
from dandelionyoke_dispatch import (
    KeeperRanking,
    Member,
    StreamOrigin,
    StreamOrigins,
    stream_key,
)
from dandelionyoke_gateway._answer_wait import AnswerWait
from dandelionyoke_gateway._clock import clock_s, stalled_s
from dandelionyoke_gateway._keeper_links import KeeperLinks
from dandelionyoke_gateway._knowledge import Knowledge
from dandelionyoke_gateway._news_server import Send
from dandelionyoke_gateway._origin_messages import (
    OriginAsked,
    OriginNoted,
    OriginTold,
)
from dandelionyoke_gateway._source_links import Connect
from dandelionyoke_gateway._stream_record_reader import StreamRecordReader

# The other nodes that keep the origin of a stream, in different domains.
COPY_COUNT = 2
# One more than have a copy: the asking node may know other members.
ASK_COUNT = 3
# A healthy node answers within milliseconds, also if a link must be opened.
ASK_TIMEOUT_S = 0.4
# The store answers within milliseconds.
READ_TIMEOUT_S = 1.0
MAX_RECORDS = 32768
# A call waits this long for a listing that is asked for after it came. Callers
# give up after two seconds without an event.
LISTING_TIMEOUT_S = 1.6
# No listing is awaited if the last one is older: this node may be cut off.
MAX_LISTING_AGE_S = 2.0


@enum.unique
class OriginSource(enum.Enum):
    """How the origin of a stream was found."""

    OWN = 'own'
    ASKED = 'asked'
    STORED = 'stored'
    ONLY_VERSION = 'only version'
    ONLY_RECORDED = 'only recorded version'
    UNKNOWN = 'unknown'


@attrs.frozen
class FoundOrigin:
    """The origin of a stream, if it is known, and how it was found.

    `asked` and `answered` are numbers of other nodes. `listing_age_s` is how
    long ago the latest listing of targets was asked for.
    """

    origin: StreamOrigin | None
    source: OriginSource
    took_s: float
    asked: int = 0
    answered: int = 0
    listing_age_s: float | None = None


@attrs.define
class _Question:
    """A question to other nodes about the origin of a stream.

    A node that is lost has not answered, whatever it knows.
    """

    waiting: set[InstanceId] = attrs.field(factory=set)
    asked: int = 0
    answered: int = 0
    origin: StreamOrigin | None = None
    # Each node that answered or is lost.
    _heard: LightQueue = attrs.field(factory=LightQueue)

    def answer(self, peer_id: InstanceId, origin: StreamOrigin | None) -> None:
        """Take the answer of a node, if it is awaited."""
        if peer_id in self.waiting:
            self.answered += 1
            self.origin = self.origin or origin
            self.lose(peer_id)

    def lose(self, peer_id: InstanceId) -> None:
        """Await no answer of a node any more."""
        if peer_id in self.waiting:
            self.waiting.discard(peer_id)
            self._heard.put(peer_id)

    def wait(self) -> None:
        """Wait until a node knows the origin, or none is awaited."""
        wait = AnswerWait(ASK_TIMEOUT_S)
        with contextlib.suppress(Empty):
            while self.waiting and self.origin is None:
                wait.get(self._heard)


class StreamOriginKeeper:
    """Records where streams began, here and at two other nodes."""

    def __init__(
        self, knowledge: Knowledge, records: StreamRecordReader | None = None
    ) -> None:
        self._knowledge = knowledge
        self._records = records
        self._origins = StreamOrigins(MAX_RECORDS)
        self._ranking = KeeperRanking()
        self._links = KeeperLinks(self._handle_loss)
        self._numbers = itertools.count()
        self._questions: dict[int, _Question] = {}

    def attach(self, send: Send, connect: Connect) -> None:
        """Set the functions that send messages and open links."""
        self._links.attach(send, connect)

    def record(
        self, attempt_id: str, origin: StreamOrigin, *, is_told: bool = True
    ) -> None:
        """Record the origin of a stream, and tell it to its other keepers.

        The stream does not wait for them to get it.
        """
        key = stream_key(attempt_id)
        self._keep(key, origin)
        if is_told:
            self._knowledge.open_streams.begin(
                key, origin, clock_s(), self._knowledge.stream_lifetime_s
            )
            self._tell(key, origin)
            # Lets the links write it before the caller has an event: this
            # process may be killed right then.
            eventlet.sleep(0)

    def end(self, attempt_id: str) -> None:
        """Save a stream no more, as its caller has all of it."""
        self._knowledge.open_streams.end(stream_key(attempt_id))

    def find(
        self, attempt_id: str, service: str, deadline_s: float = math.inf
    ) -> FoundOrigin:
        """Find the origin of a stream, by `deadline_s` if it is guessed.

        Other nodes are asked if necessary.
        """
        started_s = clock_s()
        key = stream_key(attempt_id)
        origin = self._origins.find(key)
        if origin is not None:
            return self._found(origin, OriginSource.OWN, started_s, _Question())
        question = self._ask(key)
        if question.origin is not None:
            return self._found(
                question.origin, OriginSource.ASKED, started_s, question
            )
        until_s = min(started_s + LISTING_TIMEOUT_S, deadline_s)
        if self._only_origin(service) is None:
            stored = self._find_stored(key, started_s, until_s)
            if stored is not None:
                return self._found(
                    stored, OriginSource.STORED, started_s, question
                )
        return self._find_only(service, started_s, until_s, question)

    def only_listed(
        self, service: str, deadline_s: float = math.inf
    ) -> FoundOrigin:
        """Return the origin of a stream whose caller names no attempt.

        Its service must have had one version only while the stream may have
        begun.
        """
        started_s = clock_s()
        until_s = min(started_s + LISTING_TIMEOUT_S, deadline_s)
        return self._find_only(service, started_s, until_s, _Question())

    def handle_event(self, event: Event) -> bool:
        """Handle a link event; return whether it was for this part."""
        self._links.handle_event(event)
        if not isinstance(event, PeerMessageArrived):
            return False
        match event.message:
            case OriginNoted(key=key, origin=origin):
                self._keep(key, origin)
            case OriginAsked(number=number, key=key):
                answer = OriginTold(number, self._origins.find(key))
                self._links.answer(event.peer_id, answer)
            case OriginTold(number=number, origin=origin):
                question = self._questions.get(number)
                if question is not None:
                    question.answer(event.peer_id, origin)
            case _:
                return False
        return True

    def _keep(self, key: str, origin: StreamOrigin) -> None:
        lifetime_s = self._knowledge.stream_lifetime_s
        self._origins.record(key, origin, clock_s(), lifetime_s)

    def _tell(self, key: str, origin: StreamOrigin) -> None:
        for member in self._keepers(key, COPY_COUNT):
            self._links.send(member, OriginNoted(key, origin))

    def _keepers(self, key: str, count: int) -> Sequence[Member]:
        """Return the first other nodes that keep the origin of a stream."""
        own = self._knowledge.own_member
        members = (own, *self._knowledge.sources.others())
        keepers = (
            member
            for member in self._ranking.keepers(members, key)
            if member.instance_id != own.instance_id
            and not self._links.is_unreachable(member)
        )
        return tuple(itertools.islice(keepers, count))

    # Questions.

    def _ask(self, key: str) -> _Question:
        """Ask several nodes at once, until one of them knows the origin."""
        members = self._keepers(key, ASK_COUNT) if self._links.is_open else ()
        ids = {InstanceId(member.instance_id) for member in members}
        question = _Question(ids, len(ids))
        number = next(self._numbers)
        self._questions[number] = question
        try:
            for member in members:
                self._links.send(member, OriginAsked(number, key))
            question.wait()
        finally:
            self._questions.pop(number)
        # It may be told to this node meanwhile.
        question.origin = question.origin or self._origins.find(key)
        return question

    def _handle_loss(self, peer_id: InstanceId, message: PeerMessage) -> None:
        """Do without a node to which no link could be opened."""
        match message:
            case OriginNoted(key=key, origin=origin):
                self._tell(key, origin)
            case OriginAsked(number=number):
                question = self._questions.get(number)
                if question is not None:
                    question.lose(peer_id)

    # Records of processes that are gone.

    def _find_stored(
        self, key: str, started_s: float, until_s: float
    ) -> StreamOrigin | None:
        """Find the origin of a stream in the store."""
        records = self._records
        if records is None or not self._read_records(started_s, until_s):
            return None
        return records.recorded.find(key)

    def _read_records(self, started_s: float, until_s: float) -> bool:
        """Read the records that there were as a call came."""
        until_s = min(until_s, started_s + READ_TIMEOUT_S)
        return self._records is not None and self._records.read(
            started_s, until_s
        )

    # Listings.

    def _find_only(
        self,
        service: str,
        started_s: float,
        until_s: float,
        question: _Question,
    ) -> FoundOrigin:
        """Find the origin that all streams of a service must have.

        A node sends to targets that it has listed. So a listing that is asked
        for after a call came shows each version that may have begun its
        stream, or an earlier one has shown it. One from before the call does
        not: another node may have listed a version since. That no other node
        knows the stream, or none answered, shows nothing.
        """
        find, source = self._only_origin, OriginSource.ONLY_VERSION
        if find(service) is None and self._read_records(started_s, until_s):
            find, source = self._only_recorded, OriginSource.ONLY_RECORDED
        origin = find(service)
        if origin is not None:
            is_listed = self._await_listing(started_s, until_s)
            origin = find(service) if is_listed else None
        if origin is None:
            source = OriginSource.UNKNOWN
        return self._found(origin, source, started_s, question)

    def _await_listing(self, since_s: float, until_s: float) -> bool:
        """Wait for a listing that was asked for since then.

        Targets that an outage removed must be listed again by then.
        """
        knowledge = self._knowledge
        since_s = max(since_s, knowledge.registry.settled_s)
        while True:
            confirmed_s = knowledge.listing.confirmed_s
            if confirmed_s is None:
                return False
            if confirmed_s >= since_s:
                return True
            late_s = confirmed_s + MAX_LISTING_AGE_S + stalled_s(confirmed_s)
            left_s = min(until_s, late_s) - clock_s()
            if left_s <= 0 or since_s >= until_s:
                return False
            knowledge.listed.wait(left_s)

    def _only_origin(self, service: str) -> StreamOrigin | None:
        versions = self._knowledge.registry.version_history
        since_s = clock_s() - self._knowledge.stream_lifetime_s
        version = versions.only_version(service, since_s)
        return None if version is None else StreamOrigin(service, version)

    def _only_recorded(self, service: str) -> StreamOrigin | None:
        """Return the origin if processes before this one saw no other."""
        if self._records is None:
            return None
        history = self._knowledge.registry.version_history
        recorded = self._records.recorded.versions(service)
        listed = history.versions(service, -math.inf)
        if len(recorded) != 1 or recorded != listed:
            return None
        return StreamOrigin(service, *recorded)

    def _found(
        self,
        origin: StreamOrigin | None,
        source: OriginSource,
        started_s: float,
        question: _Question,
    ) -> FoundOrigin:
        now_s = clock_s()
        confirmed_s = self._knowledge.listing.confirmed_s
        return FoundOrigin(
            origin,
            source,
            now_s - started_s,
            question.asked,
            question.answered,
            None if confirmed_s is None else now_s - confirmed_s,
        )
