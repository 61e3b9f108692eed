"""Formats the rollout of a revision as text."""

import itertools
from collections.abc import Iterator

from dandelionyoke_operator._reports import InstanceRevision, RolloutReport

_LIST_UNAVAILABLE = (
    'The platform returned no list of instances, so it is not known where this '
    'is in force. Try `status` again in a while.'
)
_NO_INSTANCES = 'The platform lists no entry instance that could be asked.'


def rollout_lines(rollout: RolloutReport) -> Iterator[str]:
    """Yield the number of entries with the revision in each failure domain."""
    if not rollout.listed:
        yield _LIST_UNAVAILABLE
        return
    if not rollout.instances:
        yield _NO_INSTANCES
    for domain, members in _by_domain(rollout):
        remaining = [each for each in members if not each.leaving]
        up_to_date = [each for each in remaining if rollout.is_in_force(each)]
        count = f'{len(up_to_date)} of {len(remaining)} instances'
        yield f'  {domain}: in force in {count}'
        for each in remaining:
            if not rollout.is_in_force(each):
                yield f'    {each.instance_id} {_revision_text(each)}'


def status_lines(rollout: RolloutReport) -> Iterator[str]:
    """Yield the revision, confirmation age, load and duties of each entry."""
    if rollout.revision is None:
        yield 'The store does not answer; the entries report the following.'
    else:
        yield f'Revision {rollout.revision} is in the store.'
    if not rollout.listed:
        yield _LIST_UNAVAILABLE
        return
    if not rollout.instances:
        yield _NO_INSTANCES
    for domain, members in _by_domain(rollout):
        yield f'{domain}:'
        for each in members:
            yield f'  {each.instance_id} {_instance_text(each)}'


def _by_domain(
    rollout: RolloutReport,
) -> Iterator[tuple[str, list[InstanceRevision]]]:
    grouped = itertools.groupby(rollout.instances, key=lambda each: each.domain)
    for domain, members in grouped:
        yield domain, list(members)


def _revision_text(instance: InstanceRevision) -> str:
    if instance.revision is None:
        return 'has not answered'
    return f'has revision {instance.revision}'


def _instance_text(instance: InstanceRevision) -> str:
    parts = [_revision_text(instance)]
    if instance.knowledge_age_s is not None:
        parts.append(f'confirmed {instance.knowledge_age_s:.1f} s ago')
    if instance.in_progress is not None:
        parts.append(f'{instance.in_progress} in progress')
    if instance.usable_targets is not None:
        parts.append(f'{instance.usable_targets} targets usable')
    if instance.duties:
        parts.append(f'duties {", ".join(instance.duties)}')
    if instance.leaving:
        parts.append('leaving')
    return ', '.join(parts)
