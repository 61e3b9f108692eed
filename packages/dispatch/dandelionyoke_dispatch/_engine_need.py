"""The engines that the callers of a service need, by phase.

Load: demand moves in waves and in bursts of a few seconds, in which calls with
long prompts and calls with long answers change places. First tokens are late
for other reasons than a lack of engines as well: then more engines would be
idle beside those that are there.

The need is an engine time, and the highest of the last half minute: a burst
has come back before an engine that was removed or switched could return.
"""

import attrs

from dandelionyoke_dispatch._peak import Peak


@attrs.frozen
class EngineNeedSettings:
    """How much of an engine's time calls may use.

    A prompt that shares its engine with others takes `1 / (1 - utilisation)`
    times as long. At `utilisation` that is 2.5 times, if engines are chosen at
    random; a goal for the first token is several times the prefill of its
    prompt. At `late_utilisation`, for as long as first tokens are late, it is
    1.7 times. Streams use up to `slot_utilisation` of the slots.

    Each prompt's KV cache is transferred to a decode engine, one after the
    other, which takes up to `transfer_share` of the prefill. A domain can be
    lost at any time: the others then work at `max_utilisation`.

    The need is the peak of the last `hold_s`. After no demand was known for
    `max_gap_s`, it counts as not observed for that long.
    """

    utilisation: float = 0.6
    late_utilisation: float = 0.4
    slot_utilisation: float = 0.7
    transfer_share: float = 0.25
    max_utilisation: float = 0.9
    hold_s: float = 30.0
    max_gap_s: float = 5.0


@attrs.frozen
class EngineDemand:
    """The engine time that callers ask for, in engine seconds per second.

    `prefill` is for prompts at prefill engines, `decode` for prompts that
    decode engines prefill. `streams` are in flight.
    """

    prefill: float
    decode: float = 0.0
    streams: float = 0.0


@attrs.frozen
class EngineNeed:
    """The needed numbers of engines of usual speed.

    `prefill` and `decode` leave room for prompts that come at the same time;
    `min_prefill` and `min_decode` engines would be used as far as possible.
    `peak` is the demand behind them. `is_settled` is whether it was observed
    for the whole hold time.
    """

    prefill: float
    decode: float
    min_prefill: float
    min_decode: float
    peak: EngineDemand
    is_settled: bool = True

    @property
    def engines(self) -> float:
        """The needed number of engines of both phases."""
        return self.prefill + self.decode

    @property
    def min_engines(self) -> float:
        """The number of engines below which callers are not served."""
        return self.min_prefill + self.min_decode


class EngineNeedEstimate:
    """Follows the demand for the engines of a service."""

    def __init__(self, settings: EngineNeedSettings) -> None:
        self._settings = settings
        self._prefill = Peak(settings.hold_s)
        self._decode = Peak(settings.hold_s)
        self._streams = Peak(settings.hold_s)
        self._peak = EngineDemand(0.0)
        self._since_s = 0.0
        self._observed_s: float | None = None

    def observe(self, demand: EngineDemand, now_s: float) -> None:
        """Record the demand of the whole fleet."""
        observed_s = self._observed_s
        if observed_s is None or self._is_gap(now_s - observed_s):
            self._since_s = now_s
        self._observed_s = now_s
        self._peak = EngineDemand(
            self._prefill.update(demand.prefill, now_s),
            self._decode.update(demand.decode, now_s),
            self._streams.update(demand.streams, now_s),
        )

    def need(
        self, slots: float, now_s: float, *, is_late: bool = False
    ) -> EngineNeed | None:
        """Return the need; None if no demand is known of the hold time.

        An engine has `slots`. `is_late` is whether first tokens are late.
        """
        settings, observed_s = self._settings, self._observed_s
        if observed_s is None or now_s - observed_s > settings.hold_s:
            return None
        is_settled = now_s - self._since_s >= settings.hold_s
        utilisation = settings.utilisation
        if is_late:
            utilisation = settings.late_utilisation
        planned = self._engines(utilisation, settings.slot_utilisation, slots)
        least = self._engines(settings.max_utilisation, 1.0, slots)
        return EngineNeed(
            *planned,
            *least,
            self._peak,
            is_settled and not self._is_gap(now_s - observed_s),
        )

    def _engines(
        self, utilisation: float, slot_utilisation: float, slots: float
    ) -> tuple[float, float]:
        """Return the numbers of prefill and decode engines."""
        prefill = self._peak.prefill / utilisation
        decode = self._peak.decode / utilisation
        decode += self._peak.streams / (slots * slot_utilisation)
        return prefill, max(decode, prefill * self._settings.transfer_share)

    def _is_gap(self, elapsed_s: float) -> bool:
        return elapsed_s > self._settings.max_gap_s
