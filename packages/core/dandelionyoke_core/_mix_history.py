"""How long the mix has held, and so how long it may be expected to hold."""

from collections.abc import Sequence

import attrs

from dandelionyoke_core._load_estimate import EngineSpeed
from dandelionyoke_core._records import Role
from dandelionyoke_core._role_plan import WorkRow


@attrs.define
class MixHistory:
    """When the mix last shifted.

    A mix that has held for a while is expected to hold as long again:
    nothing else is known of a swing, and it errs to the cautious side right
    after one.
    """

    threshold: float
    _reference: float | None = None
    _since_s: float = 0.0
    _first_s: float | None = None

    def learn(
        self, rows: Sequence[WorkRow], speed: EngineSpeed, now_s: float
    ) -> None:
        """Compare the present mix with what it was."""
        if not rows:
            return
        if self._first_s is None:
            self._first_s = now_s
        share = prefill_share(rows, speed)
        if self._reference is None:
            self._reference = share
            self._since_s = now_s
        elif abs(share - self._reference) > self.threshold:
            self._reference = share
            self._since_s = now_s

    def known_s(self, now_s: float) -> float:
        """Tell how long the mix has been watched."""
        return 0 if self._first_s is None else now_s - self._first_s

    def held_s(self, now_s: float) -> float:
        """Tell how long the mix has held."""
        return now_s - self._since_s


def prefill_share(rows: Sequence[WorkRow], speed: EngineSpeed) -> float:
    """Tell which part of the engines' time is prefill."""
    prompt = sum(row.prompt_per_s for row in rows)
    output = sum(row.output_per_s for row in rows)
    prefill_s = speed.engine_s(prompt, 0, Role.MIXED)
    whole_s = speed.engine_s(prompt, output, Role.MIXED)
    return prefill_s / whole_s if whole_s else 0
