"""Writes this node's reports of crashes to the store until it takes them."""

from collections import OrderedDict

import attrs
import eventlet

from dandelionyoke_core import (
    BackOff,
    BackOffSettings,
    StoreFailed,
    record_to_json,
)
from dandelionyoke_dispatch import CrashReport
from dandelionyoke_gateway._clock import clock_s
from dandelionyoke_gateway._knowledge import Knowledge
from dandelionyoke_gateway._leased_records import LeasedRecords
from dandelionyoke_gateway._log import DecisionLog
from dandelionyoke_gateway._ports import Store

CRASHES_PREFIX = 'crashes/'
RECORD_TTL_S = 60.0
# The other nodes have to hear within a second or two of the store's return.
CRASH_BACK_OFF = BackOffSettings(max_s=0.6)
MAX_RECORDS = 256


@attrs.frozen
class _Record:
    report: CrashReport
    reported_s: float


class CrashRecords:
    """Reports that wait for the store, the oldest first."""

    def __init__(
        self, knowledge: Knowledge, store: Store, log: DecisionLog
    ) -> None:
        self._log = log
        self._records = LeasedRecords(store, RECORD_TTL_S)
        self._back_off = BackOff(CRASH_BACK_OFF, knowledge.random)
        self._unwritten: OrderedDict[str, _Record] = OrderedDict()
        self._written: OrderedDict[str, _Record] = OrderedDict()
        self._is_writing = False

    def write(self, report: CrashReport) -> None:
        """Write a report; returns at once."""
        key = f'{CRASHES_PREFIX}{report.target}/{report.reporter}'
        self._unwritten[key] = _Record(report, clock_s())
        while len(self._unwritten) > MAX_RECORDS:
            dropped_key, _ = self._unwritten.popitem(last=False)
            self._log.decide('crash.unwritten', dropped_key, outcome='dropped')
        self._start_writing()

    def store_replaced(self) -> None:
        """Write the reports again that the store may have lost."""
        self._records.forget_lease()
        self._unwritten = self._written | self._unwritten
        self._written = OrderedDict()
        if self._unwritten:
            self._start_writing()

    def _start_writing(self) -> None:
        if not self._is_writing:
            self._is_writing = True
            eventlet.spawn_n(self._write_all)

    def _write_all(self) -> None:
        """Write what waits, and wait after each failure."""
        try:
            while self._unwritten:
                key, waiting = next(iter(self._unwritten.items()))
                if self._write(key, waiting):
                    self._back_off.reset()
                    self._unwritten.pop(key, None)
                    self._keep(key, waiting)
                else:
                    eventlet.sleep(self._back_off.next_s())
        finally:
            self._is_writing = False

    def _keep(self, key: str, written: _Record) -> None:
        self._written[key] = written
        while len(self._written) > MAX_RECORDS:
            self._written.popitem(last=False)

    def _write(self, key: str, waiting: _Record) -> bool:
        """Write a report; return whether it need not be written again."""
        age_s = clock_s() - waiting.reported_s
        if age_s > RECORD_TTL_S:
            self._log.decide('crash.unwritten', key, outcome='expired')
            return True
        text = record_to_json(waiting.report.grown_older(age_s))
        answer = self._records.write(key, text, 0)
        if not isinstance(answer, StoreFailed):
            return True
        self._log.decide(
            'crash.unwritten',
            key,
            outcome='tried again',
            cause=answer.cause,
            age_s=age_s,
        )
        return False
