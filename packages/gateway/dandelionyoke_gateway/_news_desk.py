"""Answers the questions of other nodes from what this one knows."""

from collections.abc import Callable

from dandelionyoke_core import InstanceId, PeerMessage
from dandelionyoke_dispatch import DemandSample
from dandelionyoke_gateway._clock import clock_s
from dandelionyoke_gateway._knowledge import Knowledge
from dandelionyoke_gateway._news_messages import (
    ConfigurationNews,
    NewsAsked,
    NewsTold,
    TargetNews,
)

# No question is held for longer, whatever it asks for.
LONGEST_HOLD_S = 2.0
# A larger configuration is read from the store by each node: sent to all of a
# domain it would fill the link of a small machine (5 Mbit/s) for seconds.
MOST_PACKED_BYTES = 16_384
# More would not fit into a frame; its asker has to wait for the store.
MOST_WANTED_BYTES = 900_000

Send = Callable[[InstanceId, PeerMessage], bool]


class NewsDesk:
    """Holds each question until there is a change, or its time is over."""

    def __init__(self, knowledge: Knowledge, send: Send) -> None:
        self._knowledge = knowledge
        self._send = send

    def answer(self, peer_id: InstanceId, asked: NewsAsked) -> None:
        """Answer one question; returns when the answer was sent."""
        received_s = clock_s()
        self._knowledge.asked_s = received_s
        if asked.parcel is not None:
            self._knowledge.receiver.take(asked.parcel)
        if asked.demand is not None:
            self._knowledge.demand.take(peer_id, asked.demand, received_s)
        until_s = received_s + min(asked.hold_s, LONGEST_HOLD_S)
        while not self._has_news(asked) and clock_s() < until_s:
            self._knowledge.signal.wait(until_s - clock_s())
        self._send(peer_id, self._told(asked, received_s))

    def _has_news(self, asked: NewsAsked) -> bool:
        knowledge = self._knowledge
        if knowledge.configuration_revision > asked.configuration_revision:
            return True
        return asked.mark != knowledge.listing.mark

    def _told(self, asked: NewsAsked, received_s: float) -> NewsTold:
        knowledge = self._knowledge
        return NewsTold(
            asked.number,
            self._configuration(asked, received_s),
            self._targets(asked, received_s),
            knowledge.crashes.notes(clock_s()),
            knowledge.receiver.saved(asked.process),
            self._demand(),
        )

    def _demand(self) -> DemandSample:
        knowledge, now_s = self._knowledge, clock_s()
        own_id = knowledge.settings.instance_id
        knowledge.demand.take(own_id, knowledge.own_demand(now_s), now_s)
        return knowledge.demand.total(now_s)

    def _configuration(
        self, asked: NewsAsked, received_s: float
    ) -> ConfigurationNews | None:
        proven_s = self._knowledge.freshness.proven_s
        if proven_s is None:
            return None
        revision = self._knowledge.configuration_revision
        packed = None
        if asked.configuration_revision < revision:
            packed = self._packed(asked.wants_configuration)
        return ConfigurationNews(revision, proven_s - received_s, packed)

    def _packed(self, is_wanted: bool) -> bytes | None:
        packed = self._knowledge.configuration_packed
        most_bytes = MOST_WANTED_BYTES if is_wanted else MOST_PACKED_BYTES
        if packed is None or len(packed) > most_bytes:
            return None
        return packed

    def _targets(
        self, asked: NewsAsked, received_s: float
    ) -> TargetNews | None:
        listing = self._knowledge.listing
        if listing.proven_s is None:
            return None
        return TargetNews(
            listing.proven_s - received_s, listing.since(asked.mark)
        )
