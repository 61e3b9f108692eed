"""Who reads the load of which target, and how others learn of it.

In a small domain every entry reads every target of it. In a large one two
entries read each target, and each of them shares one record of all that it
reads: so an entry hears as many records as its domain has entries that
watch, whatever their targets take.
"""

from collections.abc import Iterable, Iterator, Sequence

import attrs

from dandelionyoke_core._events import SharedRecord
from dandelionyoke_core._names import InstanceId, TargetId
from dandelionyoke_core._records import LoadReport, Role, Target
from dandelionyoke_core._rendezvous import rendezvous
from dandelionyoke_core._routing_settings import RoutingSettings


@attrs.frozen
class LoadsShared(SharedRecord):
    """The loads that one watcher read, in columns to keep it small.

    The attempts in progress and the models are left out: the former grow
    with the load, and each entry knows its own.
    """

    target_ids: tuple[TargetId, ...]
    incarnations: tuple[str, ...]
    ages_s: tuple[float, ...]
    roles: tuple[Role, ...]
    calls: tuple[int, ...]
    prefill_queue_tokens: tuple[int, ...]
    kv_used_blocks: tuple[int, ...]
    kv_total_blocks: tuple[int, ...]
    draining: tuple[TargetId, ...] = ()
    unreachable: tuple[TargetId, ...] = ()

    def reports(self) -> Iterator[tuple[TargetId, LoadReport]]:
        """Give the loads as reports."""
        for row, target_id in enumerate(self.target_ids):
            yield (
                target_id,
                LoadReport(
                    engine_id=target_id,
                    incarnation=self.incarnations[row],
                    measured_s=0,
                    age_s=self.ages_s[row],
                    role=self.roles[row],
                    running=self.calls[row],
                    prefill_queue_tokens=self.prefill_queue_tokens[row],
                    kv_used_blocks=self.kv_used_blocks[row],
                    kv_total_blocks=self.kv_total_blocks[row],
                    draining=target_id in self.draining,
                ),
            )


def make_loads_record(
    key: str,
    version: int,
    lifetime_s: float,
    reports: Sequence[tuple[TargetId, LoadReport]],
    unreachable: tuple[TargetId, ...],
) -> LoadsShared:
    """Put reports into one record."""
    return LoadsShared(
        record_key=key,
        version=version,
        lifetime_s=lifetime_s,
        target_ids=tuple(target_id for target_id, _ in reports),
        incarnations=tuple(one.incarnation for _, one in reports),
        ages_s=tuple(round(one.age_s, 2) for _, one in reports),
        roles=tuple(one.role for _, one in reports),
        calls=tuple(one.running + one.waiting for _, one in reports),
        prefill_queue_tokens=tuple(
            one.prefill_queue_tokens for _, one in reports
        ),
        kv_used_blocks=tuple(one.kv_used_blocks for _, one in reports),
        kv_total_blocks=tuple(one.kv_total_blocks for _, one in reports),
        draining=tuple(target_id for target_id, one in reports if one.draining),
        unreachable=unreachable,
    )


def polls_all_targets(
    settings: RoutingSettings, live_in_domain: tuple[InstanceId, ...]
) -> bool:
    """Tell whether the domain is small enough that all read all."""
    return len(live_in_domain) <= settings.poll_all_below_entries


def targets_to_poll(
    settings: RoutingSettings,
    instance_id: InstanceId,
    live_in_domain: tuple[InstanceId, ...],
    targets: Iterable[Target],
) -> frozenset[TargetId]:
    """Name the targets that this entry has to read."""
    if polls_all_targets(settings, live_in_domain):
        return frozenset(target.target_id for target in targets)
    return frozenset(
        target.target_id
        for target in targets
        if instance_id
        in rendezvous(live_in_domain, target.target_id, settings.watchers)
    )
