"""Follows a revision until it is in force in every entry."""

import eventlet

from dandelionyoke_core import Instance, Presence
from dandelionyoke_operator._environment import Environment
from dandelionyoke_operator._errors import UnavailableError
from dandelionyoke_operator._platform import Platform
from dandelionyoke_operator._reports import InstanceRevision, RolloutReport
from dandelionyoke_operator._settings import Settings

CONCURRENT_CALLS = 32


def read_rollout(platform: Platform, revision: int) -> RolloutReport:
    """Ask every entry once which revision it has in force."""
    try:
        listed = platform.instances()
    except UnavailableError:
        return RolloutReport(revision, listed=False)
    # One silent entry would hold up all others' answers by its timeout.
    pool = eventlet.GreenPool(CONCURRENT_CALLS)
    asked = pool.imap(lambda instance: _ask(platform, instance), listed)
    return RolloutReport(revision, tuple(sorted(asked, key=_place)))


def await_rollout(
    platform: Platform,
    revision: int,
    settings: Settings,
    environment: Environment,
) -> RolloutReport:
    """Ask until the revision is in force everywhere or the wait is over."""
    give_up_s = environment.monotonic_s() + settings.wait_s
    rollout = read_rollout(platform, revision)
    while not rollout.everywhere and environment.monotonic_s() < give_up_s:
        environment.sleep(settings.poll_interval_s)
        rollout = read_rollout(platform, revision)
    return rollout


def _ask(platform: Platform, instance: Instance) -> InstanceRevision:
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
        duties=status.duties,
    )


def _place(instance: InstanceRevision) -> tuple[str, str]:
    return instance.domain, instance.instance_id
