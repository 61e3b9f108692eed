"""Assignment of targets to the entries that poll them, and sharing of loads.

In a small domain every entry polls every target of the domain. In a large
one two entries poll each target, and each of them shares one record of all
loads that it reads. An entry therefore receives one record for each polling
entry of its domain, independent of the load of the targets.
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
    """Loads read by one entry, stored in columns to keep the record small.

    Attempts in progress and models are left out: the attempts grow with the
    load, and each entry knows its own.
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
        """Yield the loads as reports."""
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
    """Build one shared record from load reports."""
    return LoadsShared(
        record_key=key,
        version=version,
        lifetime_s=lifetime_s,
        target_ids=tuple(target_id for target_id, _ in reports),
        incarnations=tuple(report.incarnation for _, report in reports),
        ages_s=tuple(round(report.age_s, 2) for _, report in reports),
        roles=tuple(report.role for _, report in reports),
        calls=tuple(report.running + report.waiting for _, report in reports),
        prefill_queue_tokens=tuple(
            report.prefill_queue_tokens for _, report in reports
        ),
        kv_used_blocks=tuple(report.kv_used_blocks for _, report in reports),
        kv_total_blocks=tuple(report.kv_total_blocks for _, report in reports),
        draining=tuple(
            target_id for target_id, report in reports if report.draining
        ),
        unreachable=unreachable,
    )


def polls_all_targets(
    settings: RoutingSettings, live_in_domain: tuple[InstanceId, ...]
) -> bool:
    """Return whether the domain is small enough for all to poll all targets."""
    return len(live_in_domain) <= settings.poll_all_below_entries


def targets_to_poll(
    settings: RoutingSettings,
    instance_id: InstanceId,
    live_in_domain: tuple[InstanceId, ...],
    targets: Iterable[Target],
) -> frozenset[TargetId]:
    """Return the ids of the targets that this entry has to poll."""
    if polls_all_targets(settings, live_in_domain):
        return frozenset(target.target_id for target in targets)
    return frozenset(
        target.target_id
        for target in targets
        if instance_id
        in rendezvous(live_in_domain, target.target_id, settings.watchers)
    )
