"""How old a node's knowledge of the configuration may be.

A node that is cut off from the store cannot hear that a key was withdrawn.
It would go on serving the withdrawn key, and a customer who left would see
its calls run and be billed. So each node counts the age of its last proof
that it knew the newest version, and turns keyed calls away in time.
"""

import attrs


@attrs.frozen
class FreshnessSettings:
    """The bound on a withdrawn key, and the margin kept to it.

    `revocation_s` is the users' bound; `margin_s` covers the rate at which
    two clocks drift within that time and one scheduling delay. Two watches
    in a row and a slow answer make an age of up to `current_s`.
    """

    revocation_s: float = 5.0
    margin_s: float = 0.5
    current_s: float = 3.6


class Freshness:
    """The age of the last proof that the known version was the newest."""

    def __init__(self, settings: FreshnessSettings) -> None:
        self._settings = settings
        self._proven_s: float | None = None

    def prove(self, asked_s: float) -> None:
        """Take an answer of the store; it proves the time of the question.

        The answer may have waited on its way, so its arrival proves nothing.
        """
        if self._proven_s is None or asked_s > self._proven_s:
            self._proven_s = asked_s

    @property
    def proven_s(self) -> float | None:
        """The moment of the last proof; None: there never was one."""
        return self._proven_s

    def age_s(self, now_s: float) -> float | None:
        """Tell the age of the last proof; None: there never was one."""
        return None if self._proven_s is None else now_s - self._proven_s

    def is_current(self, now_s: float) -> bool:
        """Whether the store answers as usual.

        A node that is cut off says so to the balancer while it can still
        serve those who come until the balancer has believed it.
        """
        age_s = self.age_s(now_s)
        return age_s is not None and age_s < self._settings.current_s

    def serves_keys(self, now_s: float) -> bool:
        """Whether a key that is known cannot have been withdrawn too long."""
        age_s = self.age_s(now_s)
        bound_s = self._settings.revocation_s - self._settings.margin_s
        return age_s is not None and age_s < bound_s
