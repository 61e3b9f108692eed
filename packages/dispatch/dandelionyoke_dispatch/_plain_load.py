"""What a node believes of the calls at the targets of a plain service.

Load: many nodes with a few calls a second each before a few targets. A node's
own calls are a small part of those at a target. Reports tell of the others, but
only with this node's answers, so that the last one is up to seconds old: taken
at its word it keeps calls from a target that has long been free.
"""

import math
from collections.abc import Sequence

import attrs

from dandelionyoke_dispatch._load_report import LoadReport
from dandelionyoke_dispatch._registry import RegisteredTarget
from dandelionyoke_dispatch._target_load import TargetLoads
from dandelionyoke_dispatch._target_speed import TargetSpeeds

# The mean wait of a queue grows without bound towards full utilisation.
MAX_UTILISATION = 0.95


@attrs.frozen
class PlainLoadSettings:
    """How reports fade, and how many calls a node sends to a target at once.

    The calls of other nodes that a target reported fade by `1 - 1/e` within
    `fade_s`. A call is taken to last `unknown_call_s` until one was answered;
    then each answer has `answer_weight` in the mean. Calls that wait at a
    target, as many as `queue_share` of its slots, keep it at work during a
    round trip.
    """

    fade_s: float = 1.0
    unknown_call_s: float = 0.1
    answer_weight: float = 0.1
    queue_share: float = 1.0


@attrs.frozen
class _Belief:
    """The calls of other nodes at a target, and until when it is full."""

    others: float = 0.0
    reported_s: float = -math.inf
    full_until_s: float = -math.inf


class PlainLoads:
    """The calls believed at targets, and how long they take there."""

    def __init__(
        self,
        settings: PlainLoadSettings,
        loads: TargetLoads,
        speeds: TargetSpeeds,
    ) -> None:
        self._settings = settings
        self._loads = loads
        self._speeds = speeds
        self._beliefs: dict[str, _Belief] = {}
        self._usual_s: dict[str, float] = {}

    def reported(
        self, target: RegisteredTarget, report: LoadReport, now_s: float
    ) -> None:
        """Take the report in an answer to a call that is still counted."""
        target_id = target.target_id
        own = max(0, self._loads.own(target_id) - 1)
        full_until_s = min(
            self._belief(target_id).full_until_s,
            now_s + self._queue_s(target, report, now_s),
        )
        self._beliefs[target_id] = _Belief(
            max(0, report.busy - own), now_s, full_until_s
        )

    def refused(
        self, target: RegisteredTarget, report: LoadReport, now_s: float
    ) -> None:
        """Send nothing to a full target until its queue is worked off.

        One without a queue is left for the time of a call.
        """
        full_s = max(
            self.run_s(target, now_s), self._queue_s(target, report, now_s)
        )
        self._beliefs[target.target_id] = attrs.evolve(
            self._belief(target.target_id), full_until_s=now_s + full_s
        )

    def answered(
        self, target: RegisteredTarget, elapsed_s: float, now_s: float
    ) -> None:
        """Take the time of an answered call into the service's mean."""
        slowness = self._speeds.slowness(target.target_id, now_s)
        usual_s = self.usual_s(target.service)
        weight = self._settings.answer_weight
        if target.service not in self._usual_s:
            weight = 1.0
        self._usual_s[target.service] = usual_s + weight * (
            elapsed_s / slowness - usual_s
        )

    def usual_s(self, service: str) -> float:
        """Return how long a call takes at a target of the usual speed.

        It includes the wait at the target, as long as the last ones had it.
        """
        return self._usual_s.get(service, self._settings.unknown_call_s)

    def run_s(self, target: RegisteredTarget, now_s: float) -> float:
        """Return how long a call takes at a target that is as full as usual."""
        slowness = self._speeds.slowness(target.target_id, now_s)
        return slowness * self.usual_s(target.service)

    def believed(self, target_id: str, now_s: float) -> float:
        """Return the calls believed at a target, this node's included."""
        belief = self._belief(target_id)
        age_s = max(0, now_s - belief.reported_s)
        kept = math.exp(-age_s / self._settings.fade_s)
        return self._loads.own(target_id) + kept * belief.others

    def expected_s(self, target: RegisteredTarget, now_s: float) -> float:
        """Return the time of a call that is sent to a target now.

        Beyond the slots it waits for others; below, it may meet others that
        are not known yet.
        """
        calls = self.believed(target.target_id, now_s)
        waiting = max(0, calls + 1 - target.slots) / target.slots
        waiting += _queue_share(calls, target.slots)
        return self.run_s(target, now_s) * (1 + waiting)

    def window(
        self, targets: Sequence[RegisteredTarget], node_count: int
    ) -> int:
        """Return how many calls this node may have at targets that are full.

        It is this node's part of their slots and of short queues.
        """
        slots = sum(target.slots for target in targets)
        calls = slots * (1 + self._settings.queue_share)
        return max(1, int(calls / node_count))

    def with_room(
        self, targets: Sequence[RegisteredTarget], node_count: int, now_s: float
    ) -> list[RegisteredTarget]:
        """Return the targets of a service to which a call may be sent.

        They have a free slot, or this node has fewer calls than its window.
        """
        is_within_window = self._own(targets) < self.window(targets, node_count)
        return [
            target
            for target in targets
            if not self.full_s(target, now_s)
            and (is_within_window or self._has_free_slot(target, now_s))
        ]

    def full_s(self, target: RegisteredTarget, now_s: float) -> float:
        """Return for how long a target that refused a call stays full."""
        belief = self._belief(target.target_id)
        return max(0, belief.full_until_s - now_s)

    def turn_s(
        self, targets: Sequence[RegisteredTarget], node_count: int, now_s: float
    ) -> float:
        """Return after how long one of this node's calls at targets ends.

        They have as many as this node may send them.
        """
        calls = max(self.window(targets, node_count), self._own(targets))
        expected_s = [self.expected_s(target, now_s) for target in targets]
        return sum(expected_s) / len(expected_s) / calls

    def describe(
        self, targets: Sequence[RegisteredTarget], now_s: float
    ) -> str:
        """Return what is believed of targets, for a log line.

        Each has its calls, slots, slowness and the age of its report.
        """
        return ','.join(
            f'{target.target_id}:{self.believed(target.target_id, now_s):.1f}'
            f'/{target.slots}x{self._speeds.slowness(target.target_id, now_s):.2f}'
            f'@{self.report_age_s(target.target_id, now_s):.2f}'
            for target in targets
        )

    def report_age_s(self, target_id: str, now_s: float) -> float:
        """Return the age of the last report; infinite if there is none."""
        return now_s - self._belief(target_id).reported_s

    def forget(self, known: frozenset[str]) -> None:
        """Remove what is believed of targets that are gone."""
        self._beliefs = {
            target_id: belief
            for target_id, belief in self._beliefs.items()
            if target_id in known
        }

    def _own(self, targets: Sequence[RegisteredTarget]) -> int:
        return sum(self._loads.own(target.target_id) for target in targets)

    def _has_free_slot(self, target: RegisteredTarget, now_s: float) -> bool:
        return self.believed(target.target_id, now_s) < target.slots

    def _belief(self, target_id: str) -> _Belief:
        return self._beliefs.get(target_id, _Belief())

    def _queue_s(
        self, target: RegisteredTarget, report: LoadReport, now_s: float
    ) -> float:
        """Return how long a target works at the calls that wait there."""
        return report.queued / target.slots * self.run_s(target, now_s)


def _queue_share(calls: float, slots: int) -> float:
    """Return the mean wait at a utilisation, as a share of the run time.

    This is Sakasegawa's approximation for a queue with several servers.
    """
    utilisation = min(MAX_UTILISATION, calls / slots)
    exponent = math.sqrt(2 * (slots + 1)) - 1
    return math.pow(utilisation, exponent) / (slots * (1 - utilisation))
