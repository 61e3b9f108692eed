"""When a node polls the store itself, and when it relies on another node."""

import attrs

from dandelionyoke_gateway._clock import clock_s, stalled_s
from dandelionyoke_gateway._knowledge import Knowledge
from dandelionyoke_gateway._news_messages import NewsTold


@attrs.frozen
class StorePollSettings:
    """How stale the data from another node may become.

    A node that others poll ends its watches on the configuration after
    `relied_watch_share` of `apply_s`, the time limit for new configurations.
    Its answers are at most two watches and one hold time old. Data older than
    `configuration_share` of the limit is read from the store instead, which
    leaves a quarter of the limit for the store's answer. The registry is read
    every 0.4 of `drain_s`, the time limit for draining targets, and a request
    is held for `hold_share` of it; `registry_share` leaves a quarter as well.
    """

    relied_watch_share: float = 0.2
    default_watch_s: float = 1.5
    configuration_share: float = 0.75
    registry_share: float = 0.75
    hold_share: float = 0.2
    # During a burst of new configurations, the store is read once in this
    # share of `apply_s`.
    fetch_share: float = 0.2
    # Two watches in a row and a slow answer reach this age. A watch that would
    # exceed it is shorter, but takes at least `shortest_watch_s`.
    blind_after_s: float = 3.2
    shortest_watch_s: float = 0.1
    # Others rely on a node that got a news request within this time.
    relied_within_s: float = 3.0


class StorePollPolicy:
    """Compares the age of a node's data with the time limits."""

    def __init__(
        self, knowledge: Knowledge, settings: StorePollSettings
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
    def watch_duration_s(self) -> float:
        """The duration of the next watch on the configuration."""
        settings, now_s = self._settings, clock_s()
        is_relied_on = (
            now_s - self._knowledge.news_requested_s < settings.relied_within_s
        )
        longest_s = (
            self._relied_watch_s if is_relied_on else settings.default_watch_s
        )
        age_s = self._knowledge.freshness.age_s(now_s) or 0.0
        remaining_s = settings.blind_after_s - age_s
        return min(longest_s, max(settings.shortest_watch_s, remaining_s))

    def configuration_wait_s(self, now_s: float) -> float:
        """Return the time until the configuration must be polled; 0: now."""
        confirmed_s = self._knowledge.freshness.confirmed_s
        return self._remaining_s(confirmed_s, self._configuration_s, now_s)

    def registry_wait_s(self, now_s: float) -> float:
        """Return the time until the registry must be polled; 0: now."""
        confirmed_s = self._knowledge.listing.confirmed_s
        return self._remaining_s(confirmed_s, self._registry_s, now_s)

    def has_lost_store(self, now_s: float) -> bool:
        """Whether this node's polls of the store have failed for too long."""
        return not (
            _is_within(
                self._knowledge.freshness.confirmed_s,
                self._settings.blind_after_s,
                now_s,
            )
            and _is_within(
                self._knowledge.listing.confirmed_s, self._registry_s, now_s
            )
        )

    def is_fresh(self, answer: NewsTold, elapsed_s: float) -> bool:
        """Whether an answer is fresh enough to rely on its sender."""
        if answer.configuration is None or answer.targets is None:
            return False
        configuration_s = elapsed_s - answer.configuration.proven_after_s
        registry_s = elapsed_s - answer.targets.proven_after_s
        return (
            configuration_s < self._configuration_s
            and registry_s < self._registry_s
        )

    def _remaining_s(
        self, confirmed_s: float | None, limit_s: float, now_s: float
    ) -> float:
        if confirmed_s is None or self._knowledge.sources.is_source(now_s):
            return 0
        return max(0, confirmed_s + limit_s - now_s)


def _is_within(confirmed_s: float | None, limit_s: float, now_s: float) -> bool:
    """Whether a time is recent enough; standstills of this process are left out."""
    if confirmed_s is None:
        return False
    return now_s - confirmed_s - stalled_s(confirmed_s) < limit_s
