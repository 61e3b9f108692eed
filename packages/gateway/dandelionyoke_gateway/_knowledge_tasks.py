"""Tasks that keep what a node believes in step with the store."""

import attrs
from eventlet import sleep

from dandelionyoke_core import (
    BackOff,
    BackOffSettings,
    StoreFailed,
    StoreItem,
    StoreListing,
)
from dandelionyoke_dispatch import RegisteredTarget
from dandelionyoke_gateway._clock import clock_s
from dandelionyoke_gateway._knowledge import Knowledge
from dandelionyoke_gateway._log import DecisionLog
from dandelionyoke_gateway._ports import Dialect, Store
from dandelionyoke_gateway._store_follower import StoreFollower


@attrs.frozen
class PaceSettings:
    """How often the store is asked; each call has a price.

    A watch that ends after `watch_s` proves that the known configuration is
    the newest; two in a row stay well below the bound on a withdrawn key.
    The registry changes with each heartbeat of each target, so a watch on it
    returns at once whenever it is asked. Its changes are gathered for
    `registry_share` of the bound on leaving targets, which leaves more than
    half of it for an answer that is lost and the call that follows.
    """

    watch_s: float = 1.5
    registry_share: float = 0.4
    back_off: BackOffSettings = attrs.field(
        factory=lambda: BackOffSettings(first_s=0.1, longest_s=0.5)
    )


class ConfigurationTask:
    """Watches the configuration's key."""

    def __init__(
        self,
        knowledge: Knowledge,
        dialect: Dialect,
        store: Store,
        log: DecisionLog,
        pace: PaceSettings,
    ) -> None:
        self._knowledge = knowledge
        self._dialect = dialect
        self._log = log
        self._failing_since_s: float | None = None
        self._follower = StoreFollower(
            store,
            dialect.configuration_key,
            pace.watch_s,
            BackOff(pace.back_off, knowledge.random),
        )

    def run(self) -> None:
        """Follow the configuration for as long as the process lives."""
        while True:
            asked_s = clock_s()
            answer = self._follower.ask()
            if isinstance(answer, StoreListing):
                self._take(answer, asked_s)
            else:
                self._fail(answer)
                self._follower.pause()

    def _take(self, listing: StoreListing, asked_s: float) -> None:
        if self._failing_since_s is not None:
            away_s = clock_s() - self._failing_since_s
            self._log.decide('store.regained', 'configuration', away_s=away_s)
            self._failing_since_s = None
        for item in listing.items:
            if item.key == self._dialect.configuration_key and item.value:
                self._adopt(item.value, item.revision)
        self._knowledge.freshness.prove(asked_s)

    def _adopt(self, text: str, revision: int) -> None:
        configuration = self._dialect.read_configuration(text)
        if configuration is None:
            self._log.decide(
                'configuration.unreadable', str(revision), outcome='kept old'
            )
            return
        known = self._knowledge.configuration
        if known is not None and configuration.version <= known.version:
            return
        self._knowledge.configuration = configuration
        self._log.decide(
            'configuration.adopted',
            str(configuration.version),
            outcome='in force',
            revision=revision,
            routes=len(configuration.routes),
        )

    def _fail(self, answer: object) -> None:
        if self._failing_since_s is None:
            self._failing_since_s = clock_s()
            cause = answer.cause if isinstance(answer, StoreFailed) else ''
            self._log.decide('store.lost', 'configuration', cause=cause)


class RegistryTask:
    """Watches the registry of targets."""

    def __init__(
        self,
        knowledge: Knowledge,
        dialect: Dialect,
        store: Store,
        log: DecisionLog,
        pace: PaceSettings,
    ) -> None:
        self._knowledge = knowledge
        self._dialect = dialect
        self._log = log
        self._pace = pace
        self._known: frozenset[str] = frozenset()
        self._targets: dict[str, RegisteredTarget] = {}
        self._follower = StoreFollower(
            store,
            dialect.registry_prefix,
            pace.watch_s,
            BackOff(pace.back_off, knowledge.random),
        )

    def run(self) -> None:
        """Follow the registry for as long as the process lives."""
        while True:
            asked_s = clock_s()
            answer = self._follower.ask()
            if isinstance(answer, StoreListing):
                self._take(answer)
                self._gather(asked_s)
            else:
                self._knowledge.registry.store_failed(clock_s())
                self._follower.pause()

    def _take(self, listing: StoreListing) -> None:
        if self._follower.was_whole:
            self._targets.clear()
        for item in listing.items:
            self._take_item(item)
        targets = self._targets.values()
        self._knowledge.registry.replace(targets, clock_s())
        usable = frozenset(
            one.target_id for one in targets if not one.is_leaving
        )
        self._knowledge.turns.send_away(self._known - usable)
        self._tell(usable)

    def _take_item(self, item: StoreItem) -> None:
        target = self._dialect.read_target(item.key, item.value or '')
        if target is None:
            self._targets.pop(item.key, None)
        else:
            self._targets[item.key] = target

    def _gather(self, asked_s: float) -> None:
        """Gather changes that come one after the other into one answer."""
        drain_s = self._knowledge.settings.drain_s
        pause_s = self._pace.registry_share * drain_s
        left_s = asked_s + pause_s - clock_s()
        if left_s > 0:
            sleep(left_s * self._knowledge.random.uniform(0.9, 1))

    def _tell(self, present: frozenset[str]) -> None:
        if present == self._known:
            return
        self._log.decide(
            'registry.changed',
            'targets',
            come=','.join(sorted(present - self._known)),
            gone=','.join(sorted(self._known - present)),
        )
        self._known = present
        self._knowledge.loads.forget(present)
