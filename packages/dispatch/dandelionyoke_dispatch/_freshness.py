"""The age of the configuration that a node knows.

A node that is partitioned from the store is not told when an API key is
revoked. It would keep accepting the key, and calls of a customer that left
would run and be billed. Each node therefore tracks when it last confirmed that
it has the latest version, and refuses calls with a key before that is too old.
"""

import attrs


@attrs.frozen
class FreshnessSettings:
    """The time limit for accepting a revoked key, and its safety margin.

    `revocation_s` is the limit that users set. `margin_s` covers the drift
    between two clocks during that time and one scheduling delay. Two watches in
    a row and a slow response give an age of up to `current_s`.
    """

    revocation_s: float = 5.0
    margin_s: float = 0.5
    current_s: float = 3.6


class Freshness:
    """The age of the last confirmation that the version was the latest."""

    def __init__(self, settings: FreshnessSettings) -> None:
        self._settings = settings
        self._confirmed_s: float | None = None

    def confirm(self, asked_s: float) -> None:
        """Record a response of the store to a request sent at `asked_s`.

        The response may have been delayed, so only the time of the request
        counts, not the time of arrival.
        """
        if self._confirmed_s is None or asked_s > self._confirmed_s:
            self._confirmed_s = asked_s

    @property
    def confirmed_s(self) -> float | None:
        """The time of the last confirmation; None if there was none."""
        return self._confirmed_s

    def age_s(self, now_s: float) -> float | None:
        """Return the age of the last confirmation; None if there was none."""
        return None if self._confirmed_s is None else now_s - self._confirmed_s

    def is_current(self, now_s: float) -> bool:
        """Whether the store responds normally.

        A partitioned node reports this to the balancer while it can still serve
        the callers that arrive before the balancer reacts.
        """
        age_s = self.age_s(now_s)
        return age_s is not None and age_s < self._settings.current_s

    def may_accept_keys(self, now_s: float) -> bool:
        """Whether the configuration is recent enough to accept keys."""
        age_s = self.age_s(now_s)
        return age_s is not None and self.may_accept_keys_of(age_s)

    def may_accept_keys_of(self, age_s: float) -> bool:
        """Whether a configuration confirmed so long ago may accept keys."""
        return age_s < self._settings.revocation_s - self._settings.margin_s
