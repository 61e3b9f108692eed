"""The six measures of a run, worked out from its ledger."""

from collections import Counter
from collections.abc import Iterable, Sequence

import attrs

from dandelionyoke_core import OrganisationId
from dandelionyoke_standins._policy_engine import EngineFakeSettings
from dandelionyoke_standins._policy_ledger import (
    GAP_BUCKET_S,
    Ending,
    Story,
)
from dandelionyoke_standins._policy_runs import SETTLE_S, Run
from dandelionyoke_standins._policy_workload import Call, Deployment

HIGH = 0.95
# What an engine can be kept busy with before its callers wait too long.
USABLE_SHARE = 0.9


@attrs.frozen
class Figures:
    """What a run measured."""

    offered: int
    good_share: float
    good_by_class: dict[str, float]
    first_token_p95_s: float
    token_gap_p95_s: float
    role_changes: int
    worst_share: float
    worst_organisation: str
    cost_per_thousand: float
    reclaimable_share: float
    reclaim_broken: int
    reclaim_harmed: int
    refused: int
    late: int
    cut: int
    preemptions: int
    targets_at_end: int


def figures(run: Run) -> Figures:
    """Work the measures out."""
    stories = list(run.ledger.stories.values())
    good = [story for story in stories if story.good]
    endings = Counter(story.ending for story in stories)
    worst = _worst(run, stories)
    platform = run.world.platform
    until_s = run.scenario.demand.duration_s + SETTLE_S
    broken = [story for story in stories if story.broken_by_reclaim]
    return Figures(
        offered=len(stories),
        good_share=len(good) / len(stories),
        good_by_class=_by_class(stories),
        first_token_p95_s=_high(_first_tokens(stories)),
        token_gap_p95_s=_high_count(run.ledger.gaps) * GAP_BUCKET_S,
        role_changes=run.world.desk.role_changes,
        worst_share=worst[0],
        worst_organisation=worst[1],
        cost_per_thousand=1000 * platform.cost(until_s) / max(1, len(good)),
        reclaimable_share=_reclaimable_share(run, good),
        reclaim_broken=len(broken),
        reclaim_harmed=sum(not story.good for story in broken),
        refused=endings[Ending.REFUSED],
        late=endings[Ending.LATE],
        cut=endings[Ending.CUT],
        preemptions=sum(
            box.engine.preemptions for box in platform.boxes.values()
        ),
        targets_at_end=len(list(platform.live(run.world.clock.now_s))),
    )


def engine_s(call: Call, engine: EngineFakeSettings) -> float:
    """Seconds of a mixed engine that a call takes, nothing cached."""
    prefill_s = call.prompt_tokens / engine.prefill_tokens_per_s
    return prefill_s + call.output_tokens / engine.decode_tokens_per_s


def max_min(
    wanted: dict[OrganisationId, float],
    weights: dict[OrganisationId, float],
    room: float,
) -> dict[OrganisationId, float]:
    """Share room by weight; nobody gets more than it wants."""
    given: dict[OrganisationId, float] = {}
    open_names = set(wanted)
    while open_names:
        total = sum(weights[name] for name in open_names)
        level = room / total
        content = {
            name for name in open_names if wanted[name] <= level * weights[name]
        }
        if not content:
            given.update({name: level * weights[name] for name in open_names})
            return given
        given.update({name: wanted[name] for name in content})
        room -= sum(wanted[name] for name in content)
        open_names -= content
    return given


def _worst(run: Run, stories: Sequence[Story]) -> tuple[float, str]:
    """Find who got the least of what its weight entitles it to."""
    deployment = run.scenario.deployment
    engine = run.scenario.engine
    wanted: Counter[OrganisationId] = Counter()
    served: Counter[OrganisationId] = Counter()
    for story in stories:
        name = story.call.customer.organisation.organisation_id
        worth_s = engine_s(story.call, engine)
        wanted[name] += worth_s  # type: ignore[assignment]
        served[name] += worth_s * story.good  # type: ignore[assignment]
    weights = {
        customer.organisation.organisation_id: float(
            customer.organisation.weight
        )
        for customer in deployment.customers
    }
    room_s = _engines(deployment) * run.scenario.demand.duration_s
    fair = max_min(dict(wanted), weights, room_s * USABLE_SHARE)
    shares = [
        (served[name] / fair[name], str(name)) for name in fair if fair[name]
    ]
    return min(shares)


def _engines(deployment: Deployment) -> int:
    return sum(
        group.steady + group.reclaimable
        for group in deployment.groups
        if not group.plain
    )


def _by_class(stories: Sequence[Story]) -> dict[str, float]:
    offered = Counter(story.call.kind.name for story in stories)
    good = Counter(story.call.kind.name for story in stories if story.good)
    return {name: good[name] / offered[name] for name in sorted(offered)}


def _first_tokens(stories: Iterable[Story]) -> list[float]:
    return [
        story.first_s - story.call.arrived_s
        for story in stories
        if story.first_s is not None and story.call.prompt_tokens
    ]


def _high(numbers: list[float]) -> float:
    ranked = sorted(numbers)
    return ranked[int(len(ranked) * HIGH)] if ranked else 0


def _high_count(counts: Counter[int]) -> int:
    left = sum(counts.values()) * HIGH
    for bucket in sorted(counts):
        left -= counts[bucket]
        if left <= 0:
            return bucket
    return 0


def _reclaimable_share(run: Run, good: Sequence[Story]) -> float:
    engine = run.scenario.engine
    total_s = sum(engine_s(story.call, engine) for story in good)
    there_s = sum(
        engine_s(story.call, engine) for story in good if story.reclaimable
    )
    return there_s / total_s if total_s else 0
