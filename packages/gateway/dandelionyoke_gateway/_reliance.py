"""When a node asks the store itself, and when it relies on another one."""

import attrs

from dandelionyoke_gateway._clock import clock_s
from dandelionyoke_gateway._knowledge import Knowledge
from dandelionyoke_gateway._news_messages import NewsTold


@attrs.frozen
class RelianceSettings:
    """How old what another node tells may grow.

    A node that others ask ends its watches on the configuration after
    `relied_watch_share` of the bound on new configurations. What it tells is
    at most two watches old, and the time for which a question is held. From
    `configuration_share` of the bound on the store is asked instead, which
    leaves a quarter for its answer. The registry is read each 0.4 of the
    bound on leaving targets, a question is held for `hold_share` of it, and
    `registry_share` leaves a quarter as well.
    """

    relied_watch_share: float = 0.2
    alone_watch_s: float = 1.5
    configuration_share: float = 0.75
    registry_share: float = 0.75
    hold_share: float = 0.2
    # Configurations that come in quick succession are read from the store
    # once in this share of the bound on new ones.
    fetch_share: float = 0.2
    # Two watches in a row and a slow answer make a proof this old.
    blind_after_s: float = 3.2
    # Asked by others within this time, a node is relied on.
    relied_within_s: float = 3.0


class Reliance:
    """Compares the age of what a node knows with the bounds."""

    def __init__(
        self, knowledge: Knowledge, settings: RelianceSettings
    ) -> None:
        self._knowledge = knowledge
        self._settings = settings
        drain_s = knowledge.settings.drain_s
        apply_s = knowledge.settings.apply_s
        self._relied_watch_s = settings.relied_watch_share * apply_s
        self._configuration_s = settings.configuration_share * apply_s
        self._registry_s = settings.registry_share * drain_s
        self.hold_s = settings.hold_share * drain_s
        self.fetch_interval_s = settings.fetch_share * apply_s

    @property
    def watch_s(self) -> float:
        """How long a watch on the configuration waits."""
        is_relied_on = (
            clock_s() - self._knowledge.news_requested_s
            < self._settings.relied_within_s
        )
        if is_relied_on:
            return self._relied_watch_s
        return self._settings.alone_watch_s

    def configuration_wait_s(self, now_s: float) -> float:
        """Tell for how long the store need not be asked; 0: ask it now."""
        proven_s = self._knowledge.freshness.proven_s
        return self._remaining_s(proven_s, self._configuration_s, now_s)

    def registry_wait_s(self, now_s: float) -> float:
        """Tell for how long the store need not be asked; 0: ask it now."""
        proven_s = self._knowledge.listing.proven_s
        return self._remaining_s(proven_s, self._registry_s, now_s)

    def is_blind(self, now_s: float) -> bool:
        """Whether this node asks the store in vain."""
        return not (
            _is_within(
                self._knowledge.freshness.proven_s,
                self._settings.blind_after_s,
                now_s,
            )
            and _is_within(
                self._knowledge.listing.proven_s, self._registry_s, now_s
            )
        )

    def is_fresh(self, answer: NewsTold, elapsed_s: float) -> bool:
        """Whether an answer is new enough to rely on its sender."""
        if answer.configuration is None or answer.targets is None:
            return False
        configuration_s = elapsed_s - answer.configuration.proven_after_s
        registry_s = elapsed_s - answer.targets.proven_after_s
        return (
            configuration_s < self._configuration_s
            and registry_s < self._registry_s
        )

    def _remaining_s(
        self, proven_s: float | None, limit_s: float, now_s: float
    ) -> float:
        if proven_s is None or self._knowledge.sources.is_source(now_s):
            return 0
        return max(0, proven_s + limit_s - now_s)


def _is_within(proven_s: float | None, limit_s: float, now_s: float) -> bool:
    return proven_s is not None and now_s - proven_s < limit_s
