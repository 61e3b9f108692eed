"""Tasks that follow the configuration and the target registry in the store."""

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
from dandelionyoke_gateway._configuration_updater import ConfigurationUpdater
from dandelionyoke_gateway._knowledge import Knowledge
from dandelionyoke_gateway._log import DecisionLog
from dandelionyoke_gateway._ports import Dialect, Store
from dandelionyoke_gateway._prefix_watcher import PrefixWatcher
from dandelionyoke_gateway._registry_updater import RegistryUpdater
from dandelionyoke_gateway._store_poll_policy import (
    StorePollPolicy,
    StorePollSettings,
)


@attrs.frozen
class StorePollIntervals:
    """How often the store is polled; each call has a cost.

    The registry changes with each heartbeat of each target, so a watch on it
    returns at once. Changes are therefore batched for `registry_share` of
    `drain_s`, the time limit for draining targets. That leaves more than half
    of the limit for a lost answer and its retry. Without changes, a watch
    ends after `registry_watch_share` of the limit, before the batch is due.
    """

    registry_share: float = 0.4
    registry_watch_share: float = 0.1
    back_off: BackOffSettings = attrs.field(
        factory=lambda: BackOffSettings(initial_s=0.1, max_s=0.5)
    )


class ConfigurationTask:
    """Watches the configuration's key unless another node provides it."""

    def __init__(
        self,
        updater: ConfigurationUpdater,
        knowledge: Knowledge,
        store_polling: StorePollPolicy,
        dialect: Dialect,
        store: Store,
        log: DecisionLog,
        intervals: StorePollIntervals,
    ) -> None:
        self._updater = updater
        self._knowledge = knowledge
        self._store_polling = store_polling
        self._key = dialect.configuration_key
        self._log = log
        self._failing_since_s: float | None = None
        self._watcher = PrefixWatcher(
            store, self._key, BackOff(intervals.back_off, knowledge.random)
        )

    def run(self) -> None:
        """Follow the configuration until the process exits."""
        # What was read before an error may not have been applied.
        self._watcher.restart()
        while True:
            wait_s = self._store_polling.configuration_wait_s(clock_s())
            if wait_s > 0:
                sleep(wait_s)
                continue
            self._poll_store()

    def _poll_store(self) -> None:
        polled_s = clock_s()
        age_s = self._knowledge.freshness.age_s(polled_s)
        _log_aged_news(self._knowledge, self._log, 'configuration', age_s)
        answer = self._watcher.poll(self._store_polling.watch_duration_s)
        if isinstance(answer, StoreListing):
            self._apply(answer, polled_s)
        else:
            self._record_failure(answer)
            self._watcher.back_off()

    def _apply(self, listing: StoreListing, polled_s: float) -> None:
        if self._failing_since_s is not None:
            away_s = clock_s() - self._failing_since_s
            self._log.decide('store.regained', 'configuration', away_s=away_s)
            self._failing_since_s = None
        newest = self._knowledge.configuration_revision
        for item in listing.items:
            if item.key == self._key and item.value:
                self._updater.apply(item.value, item.revision, 'store')
                newest = item.revision
        self._updater.confirm(newest, polled_s)

    def _record_failure(self, answer: object) -> None:
        if self._failing_since_s is None:
            self._failing_since_s = clock_s()
            cause = answer.cause if isinstance(answer, StoreFailed) else ''
            self._log.decide('store.lost', 'configuration', cause=cause)


class RegistryTask:
    """Watches the registry of targets unless another node provides it."""

    def __init__(
        self,
        updater: RegistryUpdater,
        knowledge: Knowledge,
        store_polling: StorePollPolicy,
        dialect: Dialect,
        store: Store,
        log: DecisionLog,
        intervals: StorePollIntervals,
    ) -> None:
        self._updater = updater
        self._knowledge = knowledge
        self._store_polling = store_polling
        self._dialect = dialect
        self._log = log
        self._intervals = intervals
        self._watch_duration_s = (
            intervals.registry_watch_share * knowledge.settings.drain_s
        )
        self._watcher = PrefixWatcher(
            store,
            dialect.registry_prefix,
            BackOff(intervals.back_off, knowledge.random),
        )

    def run(self) -> None:
        """Follow the registry until the process exits."""
        # What was read before an error may not have been applied.
        self._watcher.restart()
        while True:
            wait_s = self._store_polling.registry_wait_s(clock_s())
            if wait_s > 0:
                sleep(wait_s)
                continue
            self._poll_store()

    def _poll_store(self) -> None:
        polled_s = clock_s()
        confirmed_s = self._knowledge.listing.confirmed_s
        age_s = None if confirmed_s is None else polled_s - confirmed_s
        _log_aged_news(self._knowledge, self._log, 'targets', age_s)
        answer = self._watcher.poll(self._watch_duration_s)
        if isinstance(answer, StoreListing):
            self._apply_unless_stale(answer, polled_s)
        else:
            self._updater.record_store_failure()
            self._watcher.back_off()

    def _apply_unless_stale(
        self, listing: StoreListing, polled_s: float
    ) -> None:
        """Apply a listing unless another node has sent a newer one."""
        confirmed_s = self._knowledge.listing.confirmed_s
        if confirmed_s is not None and confirmed_s > polled_s:
            self._watcher.restart()
            return
        self._apply(listing, polled_s)
        self._wait_for_batch(polled_s)

    def _apply(self, listing: StoreListing, polled_s: float) -> None:
        prefix = self._dialect.registry_prefix
        # A key may occur more than once in an answer; its last change wins.
        newest: dict[str, RegisteredTarget | None] = {
            item.key.removeprefix(prefix): self._read(item)
            for item in listing.items
        }
        changed = [target for target in newest.values() if target is not None]
        if self._watcher.was_full_listing:
            self._updater.replace(changed, polled_s)
        else:
            gone = [name for name, target in newest.items() if target is None]
            self._updater.change(changed, gone, polled_s)

    def _read(self, item: StoreItem) -> RegisteredTarget | None:
        """Read an entry; an error leaves out this entry alone."""
        try:
            return self._dialect.read_target(item.key, item.value or '')
        except Exception as error:
            self._log.decide(
                'entry.failed', item.key, outcome='left out', cause=repr(error)
            )
            return None

    def _wait_for_batch(self, polled_s: float) -> None:
        """Sleep so that the next poll returns several changes at once."""
        drain_s = self._knowledge.settings.drain_s
        interval_s = self._intervals.registry_share * drain_s
        remaining_s = polled_s + interval_s - clock_s()
        if remaining_s > 0:
            sleep(remaining_s * self._knowledge.random.uniform(0.9, 1))


@attrs.frozen
class StoreWatch:
    """The tasks that follow the store, and what they share with the news."""

    configurations: ConfigurationUpdater
    targets: RegistryUpdater
    polling: StorePollPolicy
    configuration_task: ConfigurationTask
    registry_task: RegistryTask


def new_store_watch(
    knowledge: Knowledge, dialect: Dialect, store: Store, log: DecisionLog
) -> StoreWatch:
    """Create the tasks that follow the configuration and the targets."""
    intervals = StorePollIntervals()
    polling = StorePollPolicy(knowledge, StorePollSettings())
    configurations = ConfigurationUpdater(knowledge, dialect, log)
    targets = RegistryUpdater(knowledge, log)
    shared = (knowledge, polling, dialect, store, log, intervals)
    return StoreWatch(
        configurations,
        targets,
        polling,
        ConfigurationTask(configurations, *shared),
        RegistryTask(targets, *shared),
    )


def _log_aged_news(
    knowledge: Knowledge, log: DecisionLog, subject: str, age_s: float | None
) -> None:
    """Log that a node polls the store although another one does for it."""
    source = knowledge.sources.domain_source(clock_s())
    if source is not None and age_s is not None:
        log.decide(
            'news.aged',
            subject,
            outcome='store polled',
            age_s=age_s,
            source=source.instance_id,
        )
