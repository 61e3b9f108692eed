"""Follows a revision until it is in force in every entry."""

from collections.abc import Iterable

import eventlet

from dandelionyoke_core import Instance, Presence
from dandelionyoke_operator._environment import Environment
from dandelionyoke_operator._errors import UnavailableError
from dandelionyoke_operator._platform import Platform
from dandelionyoke_operator._reports import InstanceRevision, RolloutReport
from dandelionyoke_operator._settings import Settings

MAX_CONCURRENT_REQUESTS = 32


def read_rollout(platform: Platform, revision: int | None) -> RolloutReport:
    """Ask every entry once which revision it has in force."""
    try:
        listed = platform.instances()
    except UnavailableError:
        return RolloutReport(revision, listed=False)
    return RolloutReport(revision, _query_all(platform, listed))


def await_rollout(
    platform: Platform,
    revision: int,
    settings: Settings,
    environment: Environment,
) -> RolloutReport:
    """Ask until the revision is in force everywhere or the wait is over.

    An entry never goes back to an older revision, so one that has this one
    is not asked again.
    """
    give_up_s = environment.monotonic_s() + settings.wait_s
    rollout = read_rollout(platform, revision)
    while not rollout.is_complete and environment.monotonic_s() < give_up_s:
        environment.sleep(settings.poll_interval_s)
        rollout = _refresh_rollout(platform, rollout)
    return rollout


def _refresh_rollout(
    platform: Platform, rollout: RolloutReport
) -> RolloutReport:
    try:
        listed = platform.instances()
    except UnavailableError:
        return rollout
    settled = {
        each.instance_id: each
        for each in rollout.instances
        if rollout.is_in_force(each)
    }
    unsettled = [each for each in listed if each.instance_id not in settled]
    still_listed = {each.instance_id for each in listed}
    kept = [
        each
        for instance_id, each in settled.items()
        if instance_id in still_listed
    ]
    asked = _query_all(platform, unsettled)
    return RolloutReport(
        rollout.revision, tuple(sorted((*kept, *asked), key=_sort_key))
    )


def _query_all(
    platform: Platform, instances: Iterable[Instance]
) -> tuple[InstanceRevision, ...]:
    # One silent entry would hold up all others' answers by its timeout.
    pool = eventlet.GreenPool(MAX_CONCURRENT_REQUESTS)
    asked = pool.imap(lambda instance: _query(platform, instance), instances)
    return tuple(sorted(asked, key=_sort_key))


def _query(platform: Platform, instance: Instance) -> InstanceRevision:
    leaving = instance.state is not Presence.LIVE
    status = platform.entry_status(instance)
    if status is None:
        return InstanceRevision(
            instance.instance_id, instance.domain, None, leaving
        )
    return InstanceRevision(
        instance_id=instance.instance_id,
        domain=instance.domain,
        revision=status.revision,
        leaving=leaving or status.leaving,
        knowledge_age_s=status.knowledge_age_s,
        in_progress=status.in_progress,
        usable_targets=status.usable_targets,
        duties=status.duties,
    )


def _sort_key(instance: InstanceRevision) -> tuple[str, str]:
    return instance.domain, instance.instance_id
