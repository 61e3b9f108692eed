"""Ends the suspicion of a node whose answer comes late.

A node that stood still for a moment is passed over as silent. Its answer shows
that it is back, so that two nodes need not poll the store for its domain until
the end of the suspicion.
"""

import eventlet

from dandelionyoke_core import InstanceId, PeerMessage
from dandelionyoke_gateway._clock import clock_s
from dandelionyoke_gateway._knowledge import Knowledge
from dandelionyoke_gateway._log import DecisionLog
from dandelionyoke_gateway._news_messages import NewsTold
from dandelionyoke_links import PeerHub

# A link without an answer for this long is closed, as some connections go
# silent for good. Shorter than a suspicion, so that a new link is opened then.
LATE_ANSWER_TIMEOUT_S = 3.0


class LateAnswers:
    """The last unanswered request to each silent node."""

    def __init__(self, knowledge: Knowledge, log: DecisionLog) -> None:
        self._knowledge = knowledge
        self._log = log
        self._silent: dict[InstanceId, tuple[int, float]] = {}

    def expect(self, hub: PeerHub, peer_id: InstanceId, number: int) -> None:
        """Keep the link to a silent node until its answer or the timeout."""
        self._silent[peer_id] = (number, clock_s())
        eventlet.spawn_after(
            LATE_ANSWER_TIMEOUT_S, self._end_wait, hub, peer_id, number
        )

    def handle_message(self, peer_id: InstanceId, message: PeerMessage) -> None:
        """Trust a silent node again if this is its late answer."""
        number, silent_s = self._silent.get(peer_id, (None, 0.0))
        if not isinstance(message, NewsTold) or message.number != number:
            return
        self._silent.pop(peer_id)
        now_s = clock_s()
        is_trusted = self._knowledge.sources.trust_again(peer_id, now_s)
        self._log.decide(
            'peer.returned',
            peer_id,
            outcome='trusted' if is_trusted else 'passed over',
            late_s=now_s - silent_s,
        )

    def handle_disconnect(self, peer_id: InstanceId) -> None:
        """Expect no answer any more, as the link has ended."""
        self._silent.pop(peer_id, None)

    def _end_wait(self, hub: PeerHub, peer_id: InstanceId, number: int) -> None:
        waiting_number, _ = self._silent.get(peer_id, (None, 0.0))
        if waiting_number == number:
            hub.disconnect(peer_id)
