"""Applies lists of targets from the store or from another node."""

from collections.abc import Iterable

from eventlet import spawn_after

from dandelionyoke_dispatch import ListingChanges, RegisteredTarget
from dandelionyoke_gateway._clock import clock_s
from dandelionyoke_gateway._knowledge import Knowledge
from dandelionyoke_gateway._log import DecisionLog


class RegistryUpdater:
    """Updates the target registry and logs its changes."""

    def __init__(self, knowledge: Knowledge, log: DecisionLog) -> None:
        self._knowledge = knowledge
        self._log = log
        self._usable_ids: frozenset[str] = frozenset()
        self._announced_mark = knowledge.listing.mark
        self._is_grace_end_scheduled = False

    def replace(
        self, targets: Iterable[RegisteredTarget], confirmed_s: float
    ) -> None:
        """Replace all targets by those listed at the time `confirmed_s`."""
        self._knowledge.listing.replace(targets, confirmed_s)
        self._apply('store')

    def change(
        self,
        changed: Iterable[RegisteredTarget],
        gone: Iterable[str],
        confirmed_s: float,
    ) -> None:
        """Apply the changes up to the time `confirmed_s`."""
        self._knowledge.listing.change(changed, gone, confirmed_s)
        self._apply('store')

    def apply_peer_changes(
        self, changes: ListingChanges, confirmed_s: float, peer_id: str
    ) -> bool:
        """Apply changes that another node sent; False if they are stale.

        An entry that has not changed at the peer since its last message is
        the same here, or was read here later. Therefore changes are only
        applied to a listing that is not newer than they are.
        """
        listing = self._knowledge.listing
        if (
            listing.confirmed_s is not None
            and confirmed_s < listing.confirmed_s
        ):
            return False
        if changes.is_whole:
            listing.replace(changes.changed, confirmed_s)
        else:
            listing.change(changes.changed, changes.gone, confirmed_s)
        self._apply(peer_id)
        return True

    def record_store_failure(self) -> None:
        """Record that the store returned no listing."""
        self._knowledge.registry.store_failed(clock_s())

    def _apply(self, source: str) -> None:
        listing = self._knowledge.listing
        targets = listing.targets
        self._knowledge.registry.replace(
            targets, clock_s(), listing.confirmed_s
        )
        self._knowledge.listed.notify()
        self._knowledge.forget_target_limits()
        self._schedule_grace_end()
        if listing.mark != self._announced_mark:
            self._announced_mark = listing.mark
            self._knowledge.signal.notify()
        usable = frozenset(
            target.target_id for target in targets if not target.is_leaving
        )
        if usable == self._usable_ids:
            return
        self._log.decide(
            'registry.changed',
            'targets',
            come=','.join(sorted(usable - self._usable_ids)),
            gone=','.join(sorted(self._usable_ids - usable)),
            source=source,
        )
        self._usable_ids = usable
        self._knowledge.forget_targets(usable)

    def _schedule_grace_end(self) -> None:
        """Schedule the end of the grace period of missing targets.

        The next listing may arrive most of a second later, and a target that
        has left would receive calls until then.
        """
        remaining_s = self._knowledge.registry.grace_left_s(clock_s())
        if remaining_s is not None and not self._is_grace_end_scheduled:
            self._is_grace_end_scheduled = True
            spawn_after(remaining_s, self._end_grace)

    def _end_grace(self) -> None:
        self._is_grace_end_scheduled = False
        self._knowledge.registry.end_grace(clock_s())
        self._schedule_grace_end()
