"""What the log tells of the choice of prefill engines."""

from dandelionyoke_core import CountMetric
from dandelionyoke_dispatch import PrefillPlacement
from dandelionyoke_gateway._log import DecisionLog


def forecast_facts(
    placement: PrefillPlacement,
) -> dict[str, str | float | None]:
    """Return what a choice was based on."""
    forecast, source = placement.forecast, placement.source
    facts: dict[str, str | float | None] = {
        'source': None if source is None else source.target_id
    }
    if forecast is not None:
        facts |= {
            'prefix': placement.prefix_use,
            'expected_s': forecast.expected_s,
            'slowness': forecast.slowness,
            'slowness_age_s': forecast.slowness_age_s,
        }
    return facts


def count_prefix_use(log: DecisionLog, placement: PrefillPlacement) -> None:
    """Count how the engine gets the shared prefix, if that was forecast."""
    if placement.forecast is not None:
        log.count(CountMetric('prefix.use', label=placement.prefix_use))


def log_slow_fetch(
    log: DecisionLog, placement: PrefillPlacement, took_s: float
) -> None:
    """Log that a source is passed over, if the prefill was forecast."""
    if placement.source is None or placement.forecast is None:
        return
    log.decide(
        'fetch.slow',
        placement.source.target_id,
        outcome='passed over',
        target=placement.target.target_id,
        took_s=took_s,
        **forecast_facts(placement),
    )
