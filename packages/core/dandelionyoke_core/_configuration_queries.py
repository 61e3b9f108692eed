"""Queries to peers for the configuration: which peer to ask, and when."""

import random as random_module

import attrs

from dandelionyoke_core._actions import SendPeer
from dandelionyoke_core._configuration_messages import (
    ConfigurationOffered,
    ConfigurationWanted,
)
from dandelionyoke_core._names import InstanceId


@attrs.frozen
class PeerQuerySettings:
    """How often a node asks a peer, and how long it waits."""

    interval_s: float = 10.0
    timeout_s: float = 3.0


@attrs.frozen
class _PeerQuery:
    number: int
    peer_id: InstanceId
    asked_s: float


class PeerQueries:
    """Keeps at most one query to a linked peer pending."""

    def __init__(
        self, settings: PeerQuerySettings, random: random_module.Random
    ) -> None:
        self._settings = settings
        self._random = random
        # A dictionary keeps insertion order, so that a run is reproducible
        # from its seed.
        self._linked_peers: dict[InstanceId, None] = {}
        self._pending: _PeerQuery | None = None
        self._count = 0
        self._due_s: float | None = None

    @property
    def is_waiting(self) -> bool:
        """Whether an answer is awaited."""
        return self._pending is not None

    def next_wakeup_s(self) -> float | None:
        """Return when `choose` has to be called, or None."""
        return self._due_s

    def start(self, now_s: float) -> None:
        """Start the query interval."""
        self._due_s = now_s + self._settings.interval_s

    def add_link(self, peer_id: InstanceId) -> None:
        """Add a peer with a new link."""
        self._linked_peers[peer_id] = None

    def remove_link(self, peer_id: InstanceId) -> None:
        """Remove a peer whose link has ended."""
        self._linked_peers.pop(peer_id, None)

    def is_fresh(self, age_s: float | None) -> bool:
        """Return whether a configuration of this age needs no query."""
        return age_s is not None and age_s < self._settings.interval_s

    def choose(self, now_s: float) -> InstanceId | None:
        """Choose a random peer if a query is due; give up the pending one."""
        if self._due_s is None or now_s < self._due_s:
            return None
        self._pending = None
        self._schedule_next(now_s)
        if not self._linked_peers:
            return None
        return self._random.choice(list(self._linked_peers))

    def ask(
        self, peer_id: InstanceId, revision: int, whole: bool, now_s: float
    ) -> SendPeer:
        """Return the message that asks a peer for changes after a revision."""
        self._count += 1
        self._pending = _PeerQuery(self._count, peer_id, now_s)
        self._due_s = now_s + self._settings.timeout_s
        return SendPeer(
            peer_id, ConfigurationWanted(self._count, revision, whole)
        )

    def match(
        self, peer_id: InstanceId, offered: ConfigurationOffered, now_s: float
    ) -> float | None:
        """Return when the query of an answer was sent; None if not pending.

        An answer may wait in a buffer while this process is paused. Its age
        counted from its arrival would make an old configuration look fresh.
        """
        pending = self._pending
        if pending is None or pending.peer_id != peer_id:
            return None
        if pending.number != offered.question_number:
            return None
        self._pending = None
        self._schedule_next(now_s)
        return pending.asked_s

    def _schedule_next(self, now_s: float) -> None:
        jitter = self._random.uniform(0.5, 1.5)
        self._due_s = now_s + self._settings.interval_s * jitter
