"""Server side of news requests: answers them from this node's state.

News are the changes of the configuration and the registry, crashes, and the
fleet's demand. Nodes request them from another node instead of the store.
"""

from collections.abc import Callable

from dandelionyoke_core import InstanceId, PeerMessage, era_of, number_of
from dandelionyoke_dispatch import DemandSample
from dandelionyoke_gateway._clock import clock_s
from dandelionyoke_gateway._knowledge import Knowledge
from dandelionyoke_gateway._news_messages import (
    ConfigurationNews,
    NewsAsked,
    NewsTold,
    TargetNews,
)

# Upper limit for the hold time that a request asks for.
MAX_HOLD_S = 2.0
# A larger configuration is not sent unless requested; each node reads it from
# the store. Sent to a whole domain, it would saturate the link of a small
# machine (5 Mbit/s) for seconds.
MAX_PACKED_BYTES = 16_384
# More would not fit into a frame; the requesting node must wait for the store.
MAX_REQUESTED_BYTES = 900_000

Send = Callable[[InstanceId, PeerMessage], bool]


class NewsServer:
    """Answers long polls: on a change, or when the hold time is over."""

    def __init__(self, knowledge: Knowledge, send: Send) -> None:
        self._knowledge = knowledge
        self._send = send

    def handle_request(self, peer_id: InstanceId, request: NewsAsked) -> None:
        """Answer one request; return once the answer has been sent."""
        received_s = clock_s()
        self._knowledge.news_requested_s = received_s
        if request.parcel is not None:
            self._knowledge.counts_receiver.take(request.parcel)
        self._knowledge.stream_reports.take(
            request.process, request.streams, received_s
        )
        if request.demand is not None:
            self._knowledge.demand.take(peer_id, request.demand, received_s)
        deadline_s = received_s + min(request.hold_s, MAX_HOLD_S)
        while not self._has_news(request) and clock_s() < deadline_s:
            self._knowledge.signal.wait(deadline_s - clock_s())
        self._send(peer_id, self._build_answer(request, received_s))

    def _has_news(self, request: NewsAsked) -> bool:
        knowledge = self._knowledge
        if self._has_configuration(request):
            return True
        limits_version = knowledge.target_limits.version
        if request.limits_version not in {None, limits_version}:
            return True
        if request.crash_mark not in {None, knowledge.crash_mark}:
            return True
        return request.mark != knowledge.listing.mark

    def _has_configuration(self, request: NewsAsked) -> bool:
        """Whether this node has a later configuration than the other one."""
        revision = self._knowledge.configuration_revision
        return revision > request.held_revision(era_of(revision))

    def _build_answer(self, request: NewsAsked, received_s: float) -> NewsTold:
        knowledge = self._knowledge
        return NewsTold(
            request.number,
            self._configuration_news(request, received_s),
            self._target_news(request, received_s),
            knowledge.counts_receiver.saved(request.process),
            self._fleet_demand(),
            knowledge.target_limits.notes(clock_s()),
            knowledge.target_limits.version,
            knowledge.crashes_since(request.crash_mark),
            knowledge.crash_mark,
        )

    def _fleet_demand(self) -> DemandSample:
        knowledge, now_s = self._knowledge, clock_s()
        own_id = knowledge.settings.instance_id
        knowledge.demand.take(own_id, knowledge.own_demand(now_s), now_s)
        return knowledge.demand.total(now_s)

    def _configuration_news(
        self, request: NewsAsked, received_s: float
    ) -> ConfigurationNews | None:
        confirmed_s = self._knowledge.freshness.confirmed_s
        if confirmed_s is None:
            return None
        revision = self._knowledge.configuration_revision
        packed = None
        if self._has_configuration(request):
            packed = self._packed_configuration(request.wants_configuration)
        return ConfigurationNews(
            number_of(revision),
            confirmed_s - received_s,
            packed,
            era_of(revision),
        )

    def _packed_configuration(self, is_requested: bool) -> bytes | None:
        packed = self._knowledge.configuration_packed
        max_bytes = MAX_REQUESTED_BYTES if is_requested else MAX_PACKED_BYTES
        if packed is None or len(packed) > max_bytes:
            return None
        return packed

    def _target_news(
        self, request: NewsAsked, received_s: float
    ) -> TargetNews | None:
        listing = self._knowledge.listing
        if listing.confirmed_s is None:
            return None
        return TargetNews(
            listing.confirmed_s - received_s, listing.since(request.mark)
        )
