"""Measures the policy against the naive version, in virtual time."""

import sys
import time
from collections.abc import Sequence

from dandelionyoke_standins._policy_figures import Figures, figures
from dandelionyoke_standins._policy_runs import (
    NodeMaker,
    Scenario,
    naive_node,
    run,
    system_node,
)
from dandelionyoke_standins._policy_scenarios import scenarios

SEED = 20260101
VERSIONS: tuple[tuple[str, NodeMaker], ...] = (
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

    The name of a version runs just that one, a number is another seed.
    """
    seed = next((int(word) for word in arguments if word.isdigit()), SEED)
    versions = [
        (name, make)
        for name, make in VERSIONS
        if name in arguments or not _names_version(arguments)
    ]
    _print(f'seed {seed}')
    _print(HEADER)
    for scenario in scenarios():
        if _is_asked(scenario, arguments):
            for version, make in versions:
                _measure(scenario, version, make, seed)
    return 0


def _measure(
    scenario: Scenario, version: str, make: NodeMaker, seed: int
) -> None:
    began_s = time.perf_counter()
    found = figures(run(scenario, make, seed))
    took_s = time.perf_counter() - began_s
    _print(_line(scenario, version, found))
    classes = ', '.join(
        f'{name} {share:.1%}' for name, share in found.good_by_class.items()
    )
    _print(
        f'{"":10}{found.offered} calls in {took_s:.0f} s; {classes};'
        f' worst {found.worst_organisation};'
        f' {found.targets_at_end} targets at the end'
    )


def _line(scenario: Scenario, version: str, found: Figures) -> str:
    harm = f'{found.reclaim_harmed}/{found.reclaim_broken}'
    return (
        f'{scenario.deployment.name:10}{scenario.name:16}{version:8}'
        f'{found.good_share:7.1%}{found.first_token_p95_s:8.2f}'
        f'{found.token_gap_p95_s:7.3f}{found.role_changes:6}'
        f'{found.worst_share:8.1%}{found.cost_per_thousand:8.3f}'
        f'{found.reclaimable_share:7.1%}{harm:>7}{found.cut:5}'
        f'{found.refused:8}{found.late:6}{found.preemptions:8}'
    )


def _is_asked(scenario: Scenario, arguments: Sequence[str]) -> bool:
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
