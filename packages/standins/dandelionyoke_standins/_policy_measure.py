"""Comparison of the system's policy with a naive baseline, in virtual time."""

import sys
import time
from collections.abc import Sequence

from dandelionyoke_standins._policy_figures import Figures, compute_figures
from dandelionyoke_standins._policy_runs import (
    NodeFactory,
    Scenario,
    naive_node,
    run,
    system_node,
)
from dandelionyoke_standins._policy_scenarios import scenarios

SEED = 20260101
VERSIONS: tuple[tuple[str, NodeFactory], ...] = (
    ('naive', naive_node),
    ('system', system_node),
)
HEADER = (
    f'{"user":10}{"scenario":16}{"version":8}{"good%":>7}{"ttft95":>8}'
    f'{"gap95":>7}{"roles":>6}{"worst%":>8}{"cost/k":>8}{"recl%":>7}'
    f'{"harm":>7}{"cut":>5}{"refused":>8}{"late":>6}{"preempt":>8}'
)


def main(arguments: Sequence[str]) -> int:
    """Run the scenarios whose name or user is given, or all of them.

    A version name (`naive` or `system`) selects that version only; a number
    replaces the seed.
    """
    seed = next(
        (int(argument) for argument in arguments if argument.isdigit()), SEED
    )
    versions = [
        (name, make_node)
        for name, make_node in VERSIONS
        if name in arguments or not _names_version(arguments)
    ]
    _print(f'seed {seed}')
    _print(HEADER)
    for scenario in scenarios():
        if _is_selected(scenario, arguments):
            for version, make_node in versions:
                _measure(scenario, version, make_node, seed)
    return 0


def _measure(
    scenario: Scenario, version: str, make_node: NodeFactory, seed: int
) -> None:
    began_s = time.perf_counter()
    measured = compute_figures(run(scenario, make_node, seed))
    took_s = time.perf_counter() - began_s
    _print(_format_row(scenario, version, measured))
    classes = ', '.join(
        f'{name} {share:.1%}'
        for name, share in measured.goodput_by_class.items()
    )
    _print(
        f'{"":10}{measured.offered} calls in {took_s:.0f} s; {classes};'
        f' worst {measured.worst_organisation};'
        f' {measured.targets_at_end} targets at the end'
    )


def _format_row(scenario: Scenario, version: str, measured: Figures) -> str:
    harm = f'{measured.reclaim_missed_deadline}/{measured.reclaim_interrupted}'
    return (
        f'{scenario.deployment.name:10}{scenario.name:16}{version:8}'
        f'{measured.goodput_share:7.1%}{measured.first_token_p95_s:8.2f}'
        f'{measured.token_gap_p95_s:7.3f}{measured.role_changes:6}'
        f'{measured.worst_fair_share_ratio:8.1%}{measured.cost_per_thousand_on_time:8.3f}'
        f'{measured.reclaimable_share:7.1%}{harm:>7}{measured.cut:5}'
        f'{measured.refused:8}{measured.late:6}{measured.preemptions:8}'
    )


def _is_selected(scenario: Scenario, arguments: Sequence[str]) -> bool:
    users = [name for name in arguments if name in {'mwakilema', 'aforo'}]
    names = [
        name
        for name in arguments
        if name not in {'mwakilema', 'aforo', 'naive', 'system'}
        and not name.isdigit()
    ]
    by_user = not users or scenario.deployment.name in users
    return by_user and (not names or scenario.name in names)


def _names_version(arguments: Sequence[str]) -> bool:
    return 'naive' in arguments or 'system' in arguments


def _print(line: str) -> None:
    sys.stdout.write(f'{line}\n')
    sys.stdout.flush()


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
