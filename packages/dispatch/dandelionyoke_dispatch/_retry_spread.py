"""When refused callers are told to return.

Load: a burst is refused within some milliseconds. With one delay for all, the
callers return together, and are refused together.
"""

from random import Random

import attrs


@attrs.frozen
class RetrySpreadSettings:
    """Bounds on the delay before a retry.

    It is `min_s` or more, and is spread over as much again. It is no longer
    than `time_left_share` of the time that the caller has, so that time for
    the retry is left.
    """

    min_s: float = 0.05
    time_left_share: float = 1 / 3


def spread_retry_s(
    settings: RetrySpreadSettings,
    forecast_s: float,
    time_left_s: float,
    random: Random,
) -> float:
    """Return the delay before a retry that should have its turn.

    A caller that has no time until then is not asked to hurry.
    """
    earliest_s = max(settings.min_s, forecast_s)
    latest_s = 2 * earliest_s
    if earliest_s < time_left_s:
        latest_s = min(latest_s, settings.time_left_share * time_left_s)
        earliest_s = min(earliest_s, latest_s / 2)
    return random.uniform(earliest_s, latest_s)
