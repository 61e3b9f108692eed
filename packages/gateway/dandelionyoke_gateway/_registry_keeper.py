"""Takes listings of the targets, from the store or from another node."""

from collections.abc import Iterable

from eventlet import spawn_after

from dandelionyoke_dispatch import ListingChanges, RegisteredTarget
from dandelionyoke_gateway._clock import clock_s
from dandelionyoke_gateway._knowledge import Knowledge
from dandelionyoke_gateway._log import DecisionLog


class RegistryKeeper:
    """Keeps the registry and the log in step."""

    def __init__(self, knowledge: Knowledge, log: DecisionLog) -> None:
        self._knowledge = knowledge
        self._log = log
        self._known: frozenset[str] = frozenset()
        self._told = knowledge.listing.mark
        self._awaits_grace_end = False

    def replace(
        self, targets: Iterable[RegisteredTarget], proven_s: float
    ) -> None:
        """Take all targets as they were at a moment."""
        self._knowledge.listing.replace(targets, proven_s)
        self._adopt('store')

    def change(
        self,
        changed: Iterable[RegisteredTarget],
        gone: Iterable[str],
        proven_s: float,
    ) -> None:
        """Take the changes up to a moment."""
        self._knowledge.listing.change(changed, gone, proven_s)
        self._adopt('store')

    def take_news(
        self, changes: ListingChanges, proven_s: float, peer_id: str
    ) -> bool:
        """Take what another node tells; False if this one knows better.

        An entry that did not change there since the last time is as this
        node has it, or was read here later: so changes may be added to a
        listing only where they are the newer of the two.
        """
        listing = self._knowledge.listing
        if listing.proven_s is not None and proven_s < listing.proven_s:
            return False
        if changes.is_whole:
            listing.replace(changes.changed, proven_s)
        else:
            listing.change(changes.changed, changes.gone, proven_s)
        self._adopt(peer_id)
        return True

    def failed(self) -> None:
        """Note that no listing is to be had."""
        self._knowledge.registry.store_failed(clock_s())

    def _adopt(self, source: str) -> None:
        listing = self._knowledge.listing
        targets = listing.targets
        self._knowledge.registry.replace(targets, clock_s())
        self._await_grace_end()
        if listing.mark != self._told:
            self._told = listing.mark
            self._knowledge.signal.notify()
        usable = frozenset(
            one.target_id for one in targets if not one.is_leaving
        )
        if usable == self._known:
            return
        self._log.decide(
            'registry.changed',
            'targets',
            come=','.join(sorted(usable - self._known)),
            gone=','.join(sorted(self._known - usable)),
            source=source,
        )
        self._known = usable
        self._knowledge.forget_targets(usable)

    def _await_grace_end(self) -> None:
        """End the grace of missing targets on time.

        The next listing may come most of a second later, in which a target
        that has left would still get work.
        """
        left_s = self._knowledge.registry.grace_left_s(clock_s())
        if left_s is not None and not self._awaits_grace_end:
            self._awaits_grace_end = True
            spawn_after(left_s, self._end_grace)

    def _end_grace(self) -> None:
        self._awaits_grace_end = False
        self._knowledge.registry.end_grace(clock_s())
        self._await_grace_end()
