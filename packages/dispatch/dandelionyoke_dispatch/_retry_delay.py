"""The time after which a refused caller should return.

Load: a service refuses many callers at once. With the same delay for all they
would return together, and most would be refused again.
"""

# The part of the delay over which callers are spread.
SPREAD_SHARE = 0.5
# Callers wait for at most this share of the time that they have left.
MAX_SHARE_OF_TIME_LEFT = 1 / 3


def choose_retry_delay_s(
    wait_s: float, time_left_s: float, min_delay_s: float, random_share: float
) -> float:
    """Return a delay for a call that would have to wait `wait_s`.

    `random_share` from 0 to 1 spreads it: after the wait, or before the longest
    delay that the caller accepts. If that is below `min_delay_s`, the caller
    gains nothing from it and is told the wait.
    """
    spread_share = random_share * SPREAD_SHARE
    longest_s = MAX_SHARE_OF_TIME_LEFT * time_left_s
    delay_s = max(min_delay_s, wait_s) * (1 + spread_share)
    if delay_s <= longest_s or longest_s < min_delay_s:
        return delay_s
    return max(min_delay_s, longest_s * (1 - spread_share))
