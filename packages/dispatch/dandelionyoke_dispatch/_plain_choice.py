"""The choice among the targets of a plain service.

Load: 60 nodes, each with a call every second or so, before five targets. Each
node knows of no other calls. An order of targets that is the same at all nodes
sends all calls to one target, which is full while the others are idle.
"""

from collections.abc import Sequence
from random import Random
from typing import Protocol

import attrs

from dandelionyoke_dispatch._plain_load import PlainLoads
from dandelionyoke_dispatch._registry import RegisteredTarget
from dandelionyoke_dispatch._target_load import TargetLoads


class PlainChoice(Protocol):
    """Chooses one of the targets that may get a call."""

    def choose(
        self, targets: Sequence[RegisteredTarget], now_s: float
    ) -> RegisteredTarget:
        """Choose one; there is at least one."""


class LeastBusyChoice:
    """Chooses the target with the fewest calls for its slots.

    It is for targets that do not tell how slow they are.
    """

    def __init__(self, loads: TargetLoads, domain: str) -> None:
        self._loads = loads
        self._domain = domain

    def choose(
        self, targets: Sequence[RegisteredTarget], now_s: float
    ) -> RegisteredTarget:
        """Choose the least busy; among equals one of the own domain."""
        return min(
            targets,
            key=lambda target: (
                self._loads.busy(target.target_id, now_s) / target.slots,
                target.domain != self._domain,
                target.target_id,
            ),
        )


@attrs.frozen
class PlainChoiceSettings:
    """When targets count as equal, and what is tried beside the best.

    A call to another domain takes `crossing_s` longer, a round trip. Expected
    times that differ by less than `near_share` are equal: reports are older
    than that tells. A target whose expected time is longer gets `trial_share`
    of the calls, so that this node sees when it is shorter again.
    """

    crossing_s: float = 0.005
    near_share: float = 0.1
    trial_share: float = 0.02


class ExpectedTimeChoice:
    """Chooses the target that is expected to answer first.

    Of two that are equal, drawn for each call, it is the one with more room:
    nodes that know nothing, or the same, spread over all of them.
    """

    def __init__(
        self,
        settings: PlainChoiceSettings,
        loads: PlainLoads,
        domain: str,
        random: Random,
    ) -> None:
        self._settings = settings
        self._loads = loads
        self._domain = domain
        self._random = random

    def choose(
        self, targets: Sequence[RegisteredTarget], now_s: float
    ) -> RegisteredTarget:
        """Choose one of the targets with the least expected time."""
        times_s = {
            target.target_id: self._expected_s(target, now_s)
            for target in targets
        }
        limit_s = min(times_s.values()) * (1 + self._settings.near_share)
        near = [
            target for target in targets if times_s[target.target_id] <= limit_s
        ]
        slower = [target for target in targets if target not in near]
        near = [
            target for target in near if target.domain == self._domain
        ] or near
        trial = self._choose_trial(near, slower, now_s)
        if trial is not None:
            return trial
        drawn = self._random.sample(near, min(2, len(near)))
        return min(drawn, key=lambda target: self._used_share(target, now_s))

    def _choose_trial(
        self,
        near: Sequence[RegisteredTarget],
        slower: Sequence[RegisteredTarget],
        now_s: float,
    ) -> RegisteredTarget | None:
        """Return the slower target to try with this call, if any.

        One of another domain is slower for its way, which stays as it is.
        """
        domains = {target.domain for target in near}
        tried = [target for target in slower if target.domain in domains]
        if not tried or self._random.random() >= self._settings.trial_share:
            return None
        return max(
            tried,
            key=lambda target: self._loads.report_age_s(
                target.target_id, now_s
            ),
        )

    def _expected_s(self, target: RegisteredTarget, now_s: float) -> float:
        crossing_s = self._settings.crossing_s * (target.domain != self._domain)
        return self._loads.expected_s(target, now_s) + crossing_s

    def _used_share(self, target: RegisteredTarget, now_s: float) -> float:
        return self._loads.believed(target.target_id, now_s) / target.slots
