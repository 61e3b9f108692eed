"""The stability of the work mix over time."""

from collections.abc import Sequence

import attrs

from dandelionyoke_core._load_estimate import EngineSpeed
from dandelionyoke_core._records import Role
from dandelionyoke_core._role_plan import WorkRow


@attrs.define
class MixHistory:
    """Record when the work mix last changed by more than a threshold.

    A mix is expected to stay stable for as long as it has been stable so far.
    Nothing else is known about its changes, and the rule is cautious right
    after a change.
    """

    threshold: float
    _reference_share: float | None = None
    _stable_since_s: float = 0.0
    _first_seen_s: float | None = None

    def learn(
        self, rows: Sequence[WorkRow], speed: EngineSpeed, now_s: float
    ) -> None:
        """Compare the current mix with the reference mix."""
        if not rows:
            return
        if self._first_seen_s is None:
            self._first_seen_s = now_s
        share = prefill_share(rows, speed)
        if self._reference_share is None:
            self._reference_share = share
            self._stable_since_s = now_s
        elif abs(share - self._reference_share) > self.threshold:
            self._reference_share = share
            self._stable_since_s = now_s

    def observed_s(self, now_s: float) -> float:
        """Return for how long the mix has been observed, in seconds."""
        return 0 if self._first_seen_s is None else now_s - self._first_seen_s

    def stable_s(self, now_s: float) -> float:
        """Return for how long the mix has been stable, in seconds."""
        return now_s - self._stable_since_s


def prefill_share(rows: Sequence[WorkRow], speed: EngineSpeed) -> float:
    """Return the share of the engine time that is spent on prefill."""
    prompt = sum(row.prompt_per_s for row in rows)
    output = sum(row.output_per_s for row in rows)
    prefill_s = speed.engine_s(prompt, 0, Role.MIXED)
    total_s = speed.engine_s(prompt, output, Role.MIXED)
    return prefill_s / total_s if total_s else 0
