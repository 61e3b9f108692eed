"""The six measures of a run, computed from its ledger.

They are goodput, latency, role changes, fairness, cost, and the use and
reclaims of reclaimable targets.
"""

from collections import Counter
from collections.abc import Iterable, Sequence

import attrs

from dandelionyoke_core import OrganisationId
from dandelionyoke_standins._policy_engine import SimulatedEngineSettings
from dandelionyoke_standins._policy_ledger import (
    TOKEN_GAP_BUCKET_S,
    CallOutcome,
    Ending,
)
from dandelionyoke_standins._policy_runs import WARM_UP_S, Run
from dandelionyoke_standins._policy_workload import Call, Deployment

HIGH_QUANTILE = 0.95
# Utilisation above which callers of an engine wait too long.
USABLE_CAPACITY_SHARE = 0.9


@attrs.frozen
class Figures:
    """The measured figures of a run."""

    offered: int
    goodput_share: float
    goodput_by_class: dict[str, float]
    first_token_p95_s: float
    token_gap_p95_s: float
    role_changes: int
    worst_fair_share_ratio: float
    worst_organisation: str
    cost_per_thousand_on_time: float
    reclaimable_share: float
    reclaim_interrupted: int
    reclaim_missed_deadline: int
    refused: int
    late: int
    cut: int
    preemptions: int
    targets_at_end: int


def compute_figures(run: Run) -> Figures:
    """Compute the figures of a run."""
    outcomes = list(run.ledger.outcomes.values())
    on_time = [outcome for outcome in outcomes if outcome.met_deadline]
    endings = Counter(outcome.ending for outcome in outcomes)
    worst = _worst_served(run, outcomes)
    platform = run.simulation.platform
    until_s = run.scenario.demand.duration_s + WARM_UP_S
    interrupted = [
        outcome for outcome in outcomes if outcome.interrupted_by_reclaim
    ]
    return Figures(
        offered=len(outcomes),
        goodput_share=len(on_time) / len(outcomes),
        goodput_by_class=_by_class(outcomes),
        first_token_p95_s=_high_quantile(_first_tokens(outcomes)),
        token_gap_p95_s=_high_quantile_bucket(run.ledger.token_gap_counts)
        * TOKEN_GAP_BUCKET_S,
        role_changes=run.simulation.orders.role_changes,
        worst_fair_share_ratio=worst[0],
        worst_organisation=worst[1],
        cost_per_thousand_on_time=1000
        * platform.cost(until_s)
        / max(1, len(on_time)),
        reclaimable_share=_reclaimable_share(run, on_time),
        reclaim_interrupted=len(interrupted),
        reclaim_missed_deadline=sum(
            not outcome.met_deadline for outcome in interrupted
        ),
        refused=endings[Ending.REFUSED],
        late=endings[Ending.LATE],
        cut=endings[Ending.CUT],
        preemptions=sum(
            target.engine.preemptions for target in platform.targets.values()
        ),
        targets_at_end=len(list(platform.live(run.simulation.clock.now_s))),
    )


def engine_time_s(call: Call, engine: SimulatedEngineSettings) -> float:
    """Return how long a mixed engine works on a call without cached tokens."""
    prefill_s = call.prompt_tokens / engine.prefill_tokens_per_s
    return prefill_s + call.output_tokens / engine.decode_tokens_per_s


def max_min_fair_shares(
    demands: dict[OrganisationId, float],
    weights: dict[OrganisationId, float],
    capacity: float,
) -> dict[OrganisationId, float]:
    """Divide capacity by weight; no share exceeds its demand."""
    shares: dict[OrganisationId, float] = {}
    unsatisfied = set(demands)
    while unsatisfied:
        total = sum(weights[name] for name in unsatisfied)
        level = capacity / total
        satisfied = {
            name
            for name in unsatisfied
            if demands[name] <= level * weights[name]
        }
        if not satisfied:
            shares.update({name: level * weights[name] for name in unsatisfied})
            return shares
        shares.update({name: demands[name] for name in satisfied})
        capacity -= sum(demands[name] for name in satisfied)
        unsatisfied -= satisfied
    return shares


def _worst_served(
    run: Run, outcomes: Sequence[CallOutcome]
) -> tuple[float, str]:
    """Return the lowest ratio of service to fair share, and its organisation.

    The service counts calls that met their deadlines, in engine time.
    """
    deployment = run.scenario.deployment
    engine = run.scenario.engine
    demands: Counter[OrganisationId] = Counter()
    served: Counter[OrganisationId] = Counter()
    for outcome in outcomes:
        name = outcome.call.customer.organisation.organisation_id
        time_s = engine_time_s(outcome.call, engine)
        demands[name] += time_s  # type: ignore[assignment]
        served[name] += time_s * outcome.met_deadline  # type: ignore[assignment]
    weights = {
        customer.organisation.organisation_id: float(
            customer.organisation.weight
        )
        for customer in deployment.customers
    }
    capacity_s = _engine_count(deployment) * run.scenario.demand.duration_s
    fair_shares = max_min_fair_shares(
        dict(demands), weights, capacity_s * USABLE_CAPACITY_SHARE
    )
    shares = [
        (served[name] / fair_shares[name], str(name))
        for name in fair_shares
        if fair_shares[name]
    ]
    return min(shares)


def _engine_count(deployment: Deployment) -> int:
    return sum(
        group.on_demand_count + group.reclaimable_count
        for group in deployment.groups
        if not group.plain
    )


def _by_class(outcomes: Sequence[CallOutcome]) -> dict[str, float]:
    offered = Counter(outcome.call.call_class.name for outcome in outcomes)
    on_time = Counter(
        outcome.call.call_class.name
        for outcome in outcomes
        if outcome.met_deadline
    )
    return {name: on_time[name] / offered[name] for name in sorted(offered)}


def _first_tokens(outcomes: Iterable[CallOutcome]) -> list[float]:
    return [
        outcome.first_token_s - outcome.call.arrived_s
        for outcome in outcomes
        if outcome.first_token_s is not None and outcome.call.prompt_tokens
    ]


def _high_quantile(numbers: list[float]) -> float:
    ranked = sorted(numbers)
    return ranked[int(len(ranked) * HIGH_QUANTILE)] if ranked else 0


def _high_quantile_bucket(counts: Counter[int]) -> int:
    remaining = sum(counts.values()) * HIGH_QUANTILE
    for bucket in sorted(counts):
        remaining -= counts[bucket]
        if remaining <= 0:
            return bucket
    return 0


def _reclaimable_share(run: Run, on_time: Sequence[CallOutcome]) -> float:
    engine = run.scenario.engine
    total_s = sum(engine_time_s(outcome.call, engine) for outcome in on_time)
    reclaimable_s = sum(
        engine_time_s(outcome.call, engine)
        for outcome in on_time
        if outcome.ran_on_reclaimable
    )
    return reclaimable_s / total_s if total_s else 0
