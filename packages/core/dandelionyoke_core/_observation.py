"""Who reads the load of which target, and how others learn of it."""

from collections.abc import Iterable

import attrs

from dandelionyoke_core._events import SharedRecord
from dandelionyoke_core._names import InstanceId, TargetId
from dandelionyoke_core._records import LoadReport, Target
from dandelionyoke_core._rendezvous import rendezvous
from dandelionyoke_core._routing_settings import RoutingSettings


@attrs.frozen
class LoadShared(SharedRecord):
    """A load report that a watcher read for the entries of its domain.

    The attempts in progress are left out: they grow with the load, and each
    entry knows its own.
    """

    target_id: TargetId
    report: LoadReport


def is_watcher(
    settings: RoutingSettings,
    instance_id: InstanceId,
    live_in_domain: tuple[InstanceId, ...],
    target: Target,
) -> bool:
    """Tell whether this entry reads the load of a target of its domain."""
    if len(live_in_domain) <= settings.poll_all_below_entries:
        return True
    watchers = rendezvous(live_in_domain, target.target_id, settings.watchers)
    return instance_id in watchers


def watched(
    settings: RoutingSettings,
    instance_id: InstanceId,
    live_in_domain: tuple[InstanceId, ...],
    targets: Iterable[Target],
) -> frozenset[TargetId]:
    """Name the targets that this entry has to read."""
    return frozenset(
        target.target_id
        for target in targets
        if is_watcher(settings, instance_id, live_in_domain, target)
    )
