"""Shares with other nodes which calls broke off when a target crashed."""

import contextlib
import itertools
from collections.abc import Iterable
from typing import Protocol

import eventlet
from eventlet.greenthread import GreenThread
from greenlet import GreenletExit

from dandelionyoke_core import (
    BackOff,
    CodecError,
    StoreListing,
    StoreResult,
    record_from_json,
)
from dandelionyoke_dispatch import (
    MAX_ALIVE_AGE_S,
    NEVER_S,
    AliveSpan,
    CrashKeys,
    CrashReport,
    RegisteredTarget,
    UnansweredCalls,
)
from dandelionyoke_gateway._clock import clock_s
from dandelionyoke_gateway._crash_intake import CrashIntake
from dandelionyoke_gateway._crash_records import (
    CRASH_BACK_OFF,
    CRASHES_PREFIX,
    CrashRecords,
)
from dandelionyoke_gateway._knowledge import Knowledge
from dandelionyoke_gateway._log import DecisionLog
from dandelionyoke_gateway._ports import (
    IdentifyingEngineClient,
    Store,
    TargetIdentity,
)
from dandelionyoke_gateway._prefix_watcher import PrefixWatcher
from dandelionyoke_gateway._target_probe import is_reached, probe_sample

# Crashes are rare, so a long watch causes few store calls.
WATCH_DURATION_S = 10.0
NEWS_FRESH_S = 2.0
# Where a report came from, in the log.
OWN_SOURCE = 'own'
STORE_SOURCE = 'store'
PROBED_OTHERS = 12
# All calls of a target that crashes break off within this time.
GATHER_S = 0.05
# A report through the store seems later than its crash by up to this much. A
# connection must be older to show that its target is not a new start.
MAX_REPORT_DELAY_S = 3.0
# A target that is taken for dead and answers is asked this often.
ASK_INTERVAL_S = 1.0
MAX_ASKED_TARGETS = 256
# Keeps a record within the size that the store takes.
MAX_REPORT_KEYS = 256
# Listings come more often, unless the store is away.
MAX_LISTING_WAIT_S = 2.0


class CrashReports(Protocol):
    """Takes what calls show of the crashes of targets."""

    def broke_off(
        self, target: RegisteredTarget, keys: tuple[str, ...]
    ) -> None:
        """Report that a target broke off a call with these keys."""

    def gave_up(self, target: RegisteredTarget, keys: tuple[str, ...]) -> None:
        """Report that a call ended while its target was silent."""

    def replaced(self, target: RegisteredTarget) -> None:
        """Report that another target answers at the address of one."""

    def answered(
        self, target: RegisteredTarget, keys: CrashKeys, span: AliveSpan
    ) -> None:
        """Report that a target's answer to a call began well.

        `span` is from when its connection was opened until the answer began.
        """


class CrashTask:
    """Publishes crashes to the store and follows those of other nodes."""

    def __init__(
        self,
        knowledge: Knowledge,
        store: Store,
        engines: IdentifyingEngineClient,
        log: DecisionLog,
    ) -> None:
        self._engines = engines
        # When the report of a start that is taken for dead was last read.
        self._asked_s: dict[str, float] = {}
        self._knowledge = knowledge
        self._log = log
        self._intake = CrashIntake(knowledge, log)
        self._records = CrashRecords(knowledge, store, log)
        self._watcher = PrefixWatcher(
            store, CRASHES_PREFIX, BackOff(CRASH_BACK_OFF, knowledge.random)
        )
        # The keys of the calls that broke off, by target, until it is probed.
        self._broken: dict[str, list[str]] = {}
        self._unanswered = UnansweredCalls()
        self._is_watching = False
        self._report_numbers = itertools.count(1)
        self._poll: GreenThread | None = None

    def run(self) -> None:
        """Follow crashes until the process exits."""
        # What was read before an error may not have been applied.
        self._watcher.restart()
        while True:
            now_s = clock_s()
            if now_s - self._knowledge.news_received_s < NEWS_FRESH_S:
                # The node that answers news requests reports crashes too.
                eventlet.sleep(NEWS_FRESH_S)
                continue
            self._poll = eventlet.spawn(self._watcher.poll, WATCH_DURATION_S)
            with contextlib.suppress(GreenletExit):
                self._take_answer(self._poll.wait())

    def store_replaced(self) -> None:
        """Write reports again, and list them without waiting for a watch."""
        self._records.store_replaced()
        self._watcher.restart()
        if self._poll is not None and self._poll is not eventlet.getcurrent():
            self._poll.kill()

    def _take_answer(self, answer: StoreResult) -> None:
        if isinstance(answer, StoreListing):
            self._take_records(answer)
        else:
            self._watcher.back_off()

    def broke_off(
        self, target: RegisteredTarget, keys: tuple[str, ...]
    ) -> None:
        """Probe a target that broke off a call; report it if it is dead."""
        broken = self._broken.get(target.target_id)
        if broken is not None:
            broken.extend(keys)
            return
        self._broken[target.target_id] = list(keys)
        eventlet.spawn_n(self._probe_target, target)

    def gave_up(self, target: RegisteredTarget, keys: tuple[str, ...]) -> None:
        """Keep the keys of a call until it is known why it got no answer.

        It is reported once its target has ended, not as it is silent.
        """
        start = _start_name(target)
        self._unanswered.add(start, target, keys, clock_s())
        if not self._is_watching:
            self._is_watching = True
            eventlet.spawn_n(self._watch_unanswered)

    def replaced(self, target: RegisteredTarget) -> None:
        """Report the calls that a target left unanswered as it ended."""
        keys = self._unanswered.take(_start_name(target))
        if keys and not self._is_leaving(target):
            self._report_crash(target, list(keys), 'replaced')

    def answered(
        self, target: RegisteredTarget, keys: CrashKeys, span: AliveSpan
    ) -> None:
        """Take note of an answer; tell all nodes what it disproves.

        The id of the target does not tell its starts apart. A connection that
        was open before a crash does; on a newer one the target is asked which
        start it is.
        """
        crashes = self._knowledge.crashes
        self._unanswered.answered(_start_name(target), span.until_s)
        answered = crashes.record_answer(keys, span.until_s)
        self._intake.log_findings(answered)
        certain = AliveSpan(span.since_s + MAX_REPORT_DELAY_S, span.until_s)
        if not self._disprove(target, certain, 'connection', answered.cleared):
            if answered.cleared:
                self._publish('', answered.cleared)
            self._ask_if_dead(target)

    def _disprove(
        self,
        target: RegisteredTarget,
        span: AliveSpan,
        evidence: str,
        cleared: tuple[str, ...] = (),
    ) -> bool:
        """Take a crash back; return whether there was one to take back."""
        name = _start_name(target)
        disproved = self._knowledge.crashes.disprove_crash(
            name, span.until_s, span.since_s
        )
        if disproved is None:
            return False
        self._log.decide(
            'target.alive',
            target.target_id,
            outcome='told',
            evidence=evidence,
            started_ms=target.started_ms,
        )
        self._intake.log_findings(disproved)
        self._publish_alive(name, span, cleared)
        return True

    def _ask_if_dead(self, target: RegisteredTarget) -> None:
        """Ask a target which start it is, if its start is taken for dead."""
        now_s, name = clock_s(), _start_name(target)
        if target.started_ms is None:
            return
        if not self._knowledge.crashes.has_crash(name, now_s):
            self._asked_s.pop(name, None)
            return
        if now_s - self._asked_s.get(name, NEVER_S) < ASK_INTERVAL_S:
            return
        if len(self._asked_s) >= MAX_ASKED_TARGETS:
            self._asked_s.clear()
        self._asked_s[name] = now_s
        eventlet.spawn_n(self._ask_start, target)

    def _ask_start(self, target: RegisteredTarget) -> None:
        asked_s = clock_s()
        report = self._engines.read_report(target)
        if report is not None and report.started_ms == target.started_ms:
            self._disprove(target, AliveSpan(NEVER_S, asked_s), 'report')
            return
        self._log.decide(
            'target.unproven',
            target.target_id,
            outcome='started anew' if report else 'no report',
            started_ms=report.started_ms if report else None,
            listed_ms=target.started_ms,
        )

    def tell_untold(self) -> None:
        """Tell answers without which other nodes reach other verdicts."""
        untold = self._knowledge.crashes.take_untold(clock_s())
        for target_name, span in zip(untold.targets, untold.spans, strict=True):
            self._publish_alive(target_name, span)
        if untold.keys:
            self._publish('', untold.keys[:MAX_REPORT_KEYS])

    def _probe_target(self, target: RegisteredTarget) -> None:
        eventlet.sleep(GATHER_S)
        keys = self._broken.pop(target.target_id, [])
        if is_reached(target):
            self._judge_reached(target, keys)
            return
        start = _start_name(target)
        if self._reaches_others(target):
            keys.extend(self._unanswered.take(start))
            self._report_crash(target, keys, 'not reached')
            return
        self._log.decide(
            'target.unreached',
            target.target_id,
            outcome='no crash: cut off',
            keys=_key_text(keys),
        )

    def _judge_reached(self, target: RegisteredTarget, keys: list[str]) -> None:
        """Report a crash if another start answers at the address of a target.

        It may be back by the time that its connections are reset.
        """
        identity = self._engines.identify(target)
        start = _start_name(target)
        if identity is TargetIdentity.SAME:
            self._unanswered.take(start)
        elif identity is TargetIdentity.UNKNOWN:
            self._wait_for_listing(target, keys)
        elif not self._is_leaving(target):
            keys.extend(self._unanswered.take(start))
            self._report_crash(target, keys, 'started anew')

    def _wait_for_listing(
        self, target: RegisteredTarget, keys: list[str]
    ) -> None:
        """Judge by the next listings: a target did not say which it is."""
        registry = self._knowledge.registry
        if registry.is_replaced(target):
            keys.extend(self._unanswered.take(_start_name(target)))
            self._report_crash(target, keys, 'listed anew')
        elif not registry.has_ended(target):
            self.gave_up(target, tuple(keys))

    def _report_crash(
        self, target: RegisteredTarget, keys: list[str], evidence: str
    ) -> None:
        self._log.decide(
            'target.died',
            target.target_id,
            outcome='calls suspected',
            evidence=evidence,
            keys=_key_text(keys),
        )
        self._publish(_start_name(target), keys[:MAX_REPORT_KEYS])

    def _is_leaving(self, target: RegisteredTarget) -> bool:
        """Whether a target was to end, by its entry."""
        return target.is_leaving or any(
            listed.is_leaving and listed.started_ms == target.started_ms
            for listed in self._knowledge.listing.targets
            if listed.target_id == target.target_id
        )

    # Calls without an answer.

    def _watch_unanswered(self) -> None:
        """Probe targets that left calls unanswered, as their start ends."""
        try:
            while self._probe_ended():
                self._knowledge.listed.wait(MAX_LISTING_WAIT_S)
        finally:
            self._is_watching = False

    def _probe_ended(self) -> bool:
        """Probe the targets whose start is listed no more.

        Returns whether any call is still unexplained.
        """
        for target in self._unanswered.targets(self._is_leaving):
            self._unanswered.take(_start_name(target))
        has_ended = self._knowledge.registry.has_ended
        for target in self._unanswered.targets(has_ended):
            keys = self._unanswered.take(_start_name(target))
            self.broke_off(target, keys)
        self._unanswered.expire(clock_s())
        return bool(self._unanswered)

    def _reaches_others(self, target: RegisteredTarget) -> bool:
        """Whether this node reaches another target, of the same service first.

        If it reaches none, its own network has failed and not the target.
        Others may have crashed as well, so that many are asked.
        """
        knowledge = self._knowledge
        if knowledge.registry.find(target.target_id) is None:
            return True
        others = _without(
            target, knowledge.registry.of_service(target.service)
        ) or _without(target, knowledge.listing.targets)
        results = probe_sample(others, PROBED_OTHERS, knowledge.random)
        return any(results.values())

    def _publish(
        self, target_name: str, keys: list[str] | tuple[str, ...]
    ) -> None:
        """Tell all nodes of a crash, or of answers alone."""
        crashes, now_s = self._knowledge.crashes, clock_s()
        self._tell(
            CrashReport(
                target_name,
                self._next_reporter(),
                0.0,
                tuple(keys) if target_name else (),
                crashes.answers_to(keys, now_s),
            )
        )

    def _publish_alive(
        self, target_name: str, span: AliveSpan, cleared: tuple[str, ...] = ()
    ) -> None:
        """Tell all nodes when a start of a target was alive."""
        crashes, now_s = self._knowledge.crashes, clock_s()
        self._tell(
            CrashReport(
                '',
                self._next_reporter(),
                now_s - span.until_s,
                (),
                crashes.answers_to(cleared, now_s),
                target_name,
                min(MAX_ALIVE_AGE_S, now_s - span.since_s),
            )
        )

    def _next_reporter(self) -> str:
        return f'{self._knowledge.process_name}.{next(self._report_numbers)}'

    def _tell(self, report: CrashReport) -> None:
        """Take a report, and tell the other nodes of it."""
        self._intake.take(report, OWN_SOURCE)
        self._records.write(report)

    def _take_records(self, listing: StoreListing) -> None:
        for item in listing.items:
            if not item.value:
                # Gone, or of an older program that names no keys.
                continue
            try:
                report = record_from_json(item.value, CrashReport)
            except CodecError as error:
                self._log.decide(
                    'crash.unreadable',
                    item.key,
                    outcome='left out',
                    cause=str(error),
                )
                continue
            self._intake.take(report, STORE_SOURCE)


def _key_text(keys: Iterable[str]) -> str:
    return ','.join(sorted(set(keys))[:MAX_REPORT_KEYS])


def _start_name(target: RegisteredTarget) -> str:
    """Name one start of a target, which may start again under its id."""
    if target.started_ms is None:
        return target.target_id
    return f'{target.target_id}.{target.started_ms}'


def _without(
    target: RegisteredTarget, targets: Iterable[RegisteredTarget]
) -> list[RegisteredTarget]:
    return [other for other in targets if other.target_id != target.target_id]
