"""Tracks the rollout of a revision to all entries."""

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
    """Query every entry once for the revision that it has in force."""
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
    """Poll until the revision is in force everywhere or the wait times out.

    An entry never goes back to an older revision, so an entry that has this
    revision is not queried again.
    """
    deadline_s = environment.monotonic_s() + settings.wait_s
    rollout = read_rollout(platform, revision)
    while not rollout.is_complete and environment.monotonic_s() < deadline_s:
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
    up_to_date = {
        each.instance_id: each
        for each in rollout.instances
        if rollout.is_in_force(each)
    }
    remaining = [each for each in listed if each.instance_id not in up_to_date]
    listed_ids = {each.instance_id for each in listed}
    kept = [
        each
        for instance_id, each in up_to_date.items()
        if instance_id in listed_ids
    ]
    answers = _query_all(platform, remaining)
    return RolloutReport(
        rollout.revision, tuple(sorted((*kept, *answers), key=_sort_key))
    )


def _query_all(
    platform: Platform, instances: Iterable[Instance]
) -> tuple[InstanceRevision, ...]:
    # Query concurrently: an entry that does not answer would otherwise delay
    # the other answers by its timeout.
    pool = eventlet.GreenPool(MAX_CONCURRENT_REQUESTS)
    answers = pool.imap(lambda instance: _query(platform, instance), instances)
    return tuple(sorted(answers, key=_sort_key))


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
