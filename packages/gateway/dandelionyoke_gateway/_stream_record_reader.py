"""Reads from the store where streams of processes that are gone began."""

from random import Random

import eventlet

from dandelionyoke_core import (
    BackOff,
    BackOffSettings,
    CodecError,
    StoreFailed,
    StoreItem,
    StoreListing,
    record_from_json,
)
from dandelionyoke_dispatch import (
    OpenStreamsRecord,
    RecordedStreams,
    VersionsRecord,
)
from dandelionyoke_gateway._change_signal import ChangeSignal
from dandelionyoke_gateway._clock import clock_s
from dandelionyoke_gateway._knowledge import NEVER_S
from dandelionyoke_gateway._log import DecisionLog
from dandelionyoke_gateway._ports import Store
from dandelionyoke_gateway._prefix_watcher import PrefixWatcher
from dandelionyoke_gateway._stream_records import (
    OPEN_PREFIX,
    STREAMS_PREFIX,
    VERSIONS_PREFIX,
)

# Callers can name streams that nobody knows, each of which needs a read.
MIN_READ_INTERVAL_S = 0.5
# What changed since the last read comes at once.
WATCH_S = 0.001


class StreamRecordReader:
    """Reads the records when a call needs them, once for all that wait."""

    def __init__(self, store: Store, random: Random, log: DecisionLog) -> None:
        self._log = log
        self._watcher = PrefixWatcher(
            store, STREAMS_PREFIX, BackOff(BackOffSettings(), random)
        )
        self.recorded = RecordedStreams()
        self._ended = ChangeSignal()
        self._is_reading = False
        self._began_s = NEVER_S
        # When the last read began that succeeded.
        self._confirmed_s = NEVER_S

    def read(self, since_s: float, until_s: float) -> bool:
        """Wait for a read that begins after `since_s`; return whether it came.

        What processes saved that were gone by then is in `recorded`.
        """
        while self._confirmed_s < since_s:
            left_s = until_s - clock_s()
            if left_s <= 0:
                return False
            if not self._is_reading:
                self._is_reading = True
                eventlet.spawn_n(self._read)
            self._ended.wait(left_s)
        return True

    def _read(self) -> None:
        try:
            self._poll()
        finally:
            self._is_reading = False
            self._ended.notify()

    def _poll(self) -> None:
        due_s = self._began_s + MIN_READ_INTERVAL_S
        eventlet.sleep(max(0, due_s - clock_s()))
        self._began_s = clock_s()
        answer = self._watcher.poll(WATCH_S)
        if not isinstance(answer, StoreListing):
            cause = answer.cause if isinstance(answer, StoreFailed) else ''
            self._log.decide(
                'stream.records', 'store', outcome='not read', cause=cause
            )
            return
        if self._watcher.was_full_listing:
            self.recorded.clear()
        for item in answer.items:
            self._take(item)
        self._confirmed_s = self._began_s

    def _take(self, item: StoreItem) -> None:
        """Take a record; one that cannot be read leaves its streams unknown."""
        if item.value is None:
            self.recorded.drop(item.key)
            return
        try:
            self._take_text(item.key, item.value)
        except CodecError as error:
            self.recorded.drop(item.key)
            self._log.decide(
                'stream.records', item.key, outcome='left out', cause=str(error)
            )

    def _take_text(self, key: str, text: str) -> None:
        if key.startswith(OPEN_PREFIX):
            record = record_from_json(text, OpenStreamsRecord)
            self.recorded.take_open(key, record)
        elif key.startswith(VERSIONS_PREFIX):
            versions = record_from_json(text, VersionsRecord)
            self.recorded.take_versions(key, versions)
