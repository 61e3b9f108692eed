"""Shares with other nodes which calls were running when a target crashed."""

import eventlet

from dandelionyoke_core import (
    BackOff,
    BackOffSettings,
    StoreListing,
)
from dandelionyoke_gateway._clock import clock_s
from dandelionyoke_gateway._errors import ExchangeError
from dandelionyoke_gateway._knowledge import Knowledge
from dandelionyoke_gateway._leased_records import LeasedRecords
from dandelionyoke_gateway._log import DecisionLog
from dandelionyoke_gateway._ports import Store
from dandelionyoke_gateway._prefix_watcher import PrefixWatcher
from dandelionyoke_gateway._target_connection import connect

CRASHES_PREFIX = 'crashes/'
RECORD_TTL_S = 60.0
# Crashes are rare, so a long watch causes few store calls.
WATCH_DURATION_S = 10.0
NEWS_FRESH_S = 2.0
# A live target accepts a connection at once.
PROBE_TIMEOUT_S = 0.5
PROBED_OTHERS = 2


class CrashTask:
    """Publishes crashes to the store and follows those of other nodes."""

    def __init__(
        self, knowledge: Knowledge, store: Store, log: DecisionLog
    ) -> None:
        self._knowledge = knowledge
        self._log = log
        self._records = LeasedRecords(store, RECORD_TTL_S)
        self._watcher = PrefixWatcher(
            store,
            CRASHES_PREFIX,
            BackOff(BackOffSettings(), knowledge.random),
        )

    def run(self) -> None:
        """Follow crashes until the process exits."""
        while True:
            now_s = clock_s()
            if now_s - self._knowledge.news_received_s < NEWS_FRESH_S:
                # The node that answers news requests reports crashes too.
                eventlet.sleep(NEWS_FRESH_S)
                continue
            answer = self._watcher.poll(WATCH_DURATION_S)
            if isinstance(answer, StoreListing):
                self._record_crashes(answer)
            else:
                self._watcher.back_off()

    def probe(self, fingerprint: str, target_id: str, address: str) -> None:
        """Probe a target that aborted a call; publish a crash if it is dead."""
        eventlet.spawn_n(self._probe_target, fingerprint, target_id, address)

    def _probe_target(
        self, fingerprint: str, target_id: str, address: str
    ) -> None:
        if not _accepts_connections(address) and self._reaches_others(
            target_id
        ):
            self._publish_crash(fingerprint, target_id)

    def _reaches_others(self, target_id: str) -> bool:
        """Whether this node reaches another target of the same service.

        If it reaches none, its own network has failed and not the target.
        """
        registry = self._knowledge.registry
        target = registry.find(target_id)
        if target is None:
            return True
        others = [
            other
            for other in registry.of_service(target.service)
            if other.target_id != target_id
        ]
        count = min(len(others), PROBED_OTHERS)
        return any(
            _accepts_connections(other.address)
            for other in self._knowledge.random.sample(others, count)
        )

    def _publish_crash(self, fingerprint: str, target_id: str) -> None:
        self._knowledge.crashes.record_crash(fingerprint, target_id, clock_s())
        self._log.decide(
            'target.died', target_id, outcome='call suspected', call=fingerprint
        )
        self._records.write(f'{CRASHES_PREFIX}{fingerprint}/{target_id}', '', 0)

    def _record_crashes(self, listing: StoreListing) -> None:
        for item in listing.items:
            path = item.key.removeprefix(CRASHES_PREFIX)
            fingerprint, _, target_id = path.partition('/')
            if item.value is not None and target_id:
                self._knowledge.crashes.record_crash(
                    fingerprint, target_id, clock_s()
                )


def _accepts_connections(address: str) -> bool:
    try:
        connect(address, PROBE_TIMEOUT_S).close()
    except ExchangeError:
        return False
    return True
