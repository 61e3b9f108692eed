"""The duty of the fleet: who holds it, and what its holder does."""

from eventlet import sleep, spawn_n
from eventlet.queue import Empty, LightQueue

from dandelionyoke_core import (
    Action,
    AuthorityPart,
    AuthoritySettings,
    BackOffSettings,
    Domain,
    DutyExtended,
    DutyGained,
    DutyLost,
    Event,
    Instance,
    InstanceId,
    Leaving,
    OperationId,
    PeersKnown,
    StoreAnswered,
    StoreConflict,
    StoreList,
    StoreListing,
    StoreWritten,
    Woken,
    WriteLog,
)
from dandelionyoke_dispatch import (
    WindowCounts,
    add_up,
)
from dandelionyoke_gateway._clock import clock_s
from dandelionyoke_gateway._knowledge import Knowledge
from dandelionyoke_gateway._leased_records import LeasedRecords
from dandelionyoke_gateway._log import DecisionLog
from dandelionyoke_gateway._ports import (
    Dialect,
    DutyClient,
    DutyStamp,
    Store,
)

DUTY = 'fleet'
EVERYWHERE = Domain('all')

# While nobody holds the duty nothing is ordered; a look costs a call of each
# node.
LOOK_INTERVAL_S = 2.5
# So many of the nodes try to get the duty, or the looks would grow with the
# fleet; fewer could all lie in a domain that is lost.
CANDIDATES = 6
# A former holder stays away for the time in which two holders may not take
# turns, and this factor of it.
RETURN_TURNS = 1.5

# An order may be on its way for so long before its connection is reset. It
# must not arrive after the end of its holder's term.
SEND_TIME_S = 1.0

COUNTS_PREFIX = 'counts/'
REPORTS_PREFIX = 'reports/'
# Counts and reports are wanted until their window is reported, which is due
# within seconds; their leases remove them some windows later.
RECORDS_TTL_S = 60.0

# What a killed process has not saved is missing in the report, and each save
# has a price: a busy node, whose counts are a large part of the report, saves
# each second, one with less than SAVE_CALLS new ones later.
SAVE_INTERVAL_S = 1.0
SAVE_CALLS = 4
SAVE_LATEST_S = 2.0
# A window is closed this long after its end, when all have saved it twice.
CLOSE_AFTER_S = 4.5
REPORT_CHECK_S = 0.5
KEPT_REVISIONS = 8
# A report has to arrive within the bound; this much is kept for its way.
LATE_MARGIN_S = 0.5


class DutyTask:
    """Holds, or waits for, the duty under a lease of the store."""

    def __init__(
        self, knowledge: Knowledge, store: Store, log: DecisionLog
    ) -> None:
        settings = knowledge.settings
        self._knowledge = knowledge
        self._store = store
        self._log = log
        self._inbox: LightQueue = LightQueue()
        self._own = InstanceId(settings.instance_id)
        own = Instance(self._own, EVERYWHERE, '', '')
        self._part = AuthorityPart(
            AuthoritySettings(
                ttl_s=max(4.0, settings.duty_turn_s + 1),
                renew_interval_s=1.0,
                renew_retry_s=0.3,
                look_interval_s=LOOK_INTERVAL_S,
                return_pause_s=RETURN_TURNS * settings.duty_turn_s,
                call_timeout_s=1.0,
                candidates=CANDIDATES,
                back_off=BackOffSettings(first_s=0.2, longest_s=0.8),
            ),
            DUTY,
            own,
            knowledge.random,
        )
        self._fence = 0
        self._until_s = 0.0

    @property
    def stamp(self) -> DutyStamp | None:
        """The authority to act right now; None: there is none."""
        if clock_s() >= self._until_s - SEND_TIME_S:
            return None
        return DutyStamp(self._own, self._fence)

    def run(self) -> None:
        """Take part for as long as the process lives."""
        self._feed(PeersKnown((self._own,), (self._own,)))
        while True:
            self._feed(self._next_event())

    def take_members(self, members: tuple[str, ...]) -> None:
        """Take which nodes there are; a few of them try to get the duty."""
        names = tuple(InstanceId(member) for member in members)
        self._inbox.put(PeersKnown(names, names))

    def leave(self) -> None:
        """Hand the duty over."""
        self._inbox.put(Leaving())

    def _next_event(self) -> Event:
        wakeup_s = self._part.next_wakeup_s()
        wait_s = None if wakeup_s is None else max(0, wakeup_s - clock_s())
        try:
            event: Event = self._inbox.get(timeout=wait_s)
        except Empty:
            return Woken()
        return event

    def _feed(self, event: Event) -> None:
        for output in self._part.handle(event, clock_s()):
            match output:
                case DutyGained() | DutyExtended():
                    self._fence = output.fence
                    self._until_s = output.until_s
                case DutyLost():
                    self._until_s = 0.0
                case WriteLog():
                    self._log.decide(
                        output.kind, output.subject, outcome=output.detail
                    )
                case Action():
                    spawn_n(self._perform, output)

    def _perform(self, action: Action) -> None:
        answer = self._store.perform(action)
        operation_id = getattr(action, 'operation_id')  # noqa: B009
        self._inbox.put(StoreAnswered(operation_id, answer))


class CountsTask:
    """Saves this process's counts, so that they outlive it."""

    def __init__(
        self, knowledge: Knowledge, dialect: Dialect, store: Store
    ) -> None:
        self._knowledge = knowledge
        self._dialect = dialect
        self._records = LeasedRecords(store, RECORDS_TTL_S)
        boot = f'{knowledge.random.getrandbits(48):012x}'
        self._name = f'{knowledge.settings.instance_id}.{boot}'
        self._revisions: dict[int, int] = {}
        self._saved_s = 0.0

    def run(self) -> None:
        """Save for as long as the process lives."""
        random, usage = self._knowledge.random, self._knowledge.usage
        while True:
            sleep(SAVE_INTERVAL_S * random.uniform(0.8, 1))
            late_s = clock_s() - self._saved_s
            if usage.unsaved >= SAVE_CALLS or late_s >= SAVE_LATEST_S:
                self.save()

    def save(self) -> None:
        """Save what changed since the last time."""
        usage = self._knowledge.usage
        self._saved_s = clock_s()
        for counts in usage.take_changed():
            if not self._save_window(counts):
                usage.not_saved(counts.window_id)
        newest = usage.window_at(clock_s())
        for window_id in tuple(self._revisions):
            if window_id < newest - KEPT_REVISIONS:
                self._revisions.pop(window_id)

    def _save_window(self, counts: WindowCounts) -> bool:
        key = f'{COUNTS_PREFIX}{counts.window_id}/{self._name}'
        text = self._dialect.write_counts(counts)
        expected = self._revisions.get(counts.window_id, 0)
        answer = self._records.write(key, text, expected)
        match answer:
            case StoreWritten(revision=revision):
                self._revisions[counts.window_id] = revision
                return True
            case StoreConflict(present=present):
                # The answer to an earlier save was lost; nobody else writes
                # this key.
                self._revisions[counts.window_id] = present.revision
        return False


class UsageTask:
    """Reports each window once, while this node holds the duty."""

    def __init__(
        self,
        knowledge: Knowledge,
        dialect: Dialect,
        store: Store,
        duty: DutyTask,
        client: DutyClient,
        log: DecisionLog,
    ) -> None:
        self._knowledge = knowledge
        self._dialect = dialect
        self._store = store
        self._records = LeasedRecords(store, RECORDS_TTL_S)
        self._duty = duty
        self._client = client
        self._log = log
        self._reported: set[int] = set()

    def run(self) -> None:
        """Look for windows to report for as long as the process lives."""
        while True:
            sleep(REPORT_CHECK_S)
            if self._duty.stamp is not None:
                self._report_due()

    def _report_due(self) -> None:
        settings, usage = self._knowledge.settings, self._knowledge.usage
        newest = usage.window_at(clock_s())
        span = int(settings.usage_late_s // settings.usage_window_s) + 2
        for window_id in range(newest - span, newest):
            age_s = usage.age_s(window_id, clock_s())
            is_due = CLOSE_AFTER_S <= age_s < self._latest_s()
            if is_due and window_id not in self._reported:
                self._report(window_id)
        self._reported = {one for one in self._reported if one > newest - 20}

    def _latest_s(self) -> float:
        return self._knowledge.settings.usage_late_s - LATE_MARGIN_S

    def _report(self, window_id: int) -> None:
        counts = self._close(window_id)
        stamp = self._duty.stamp
        if counts is None or stamp is None:
            return
        accepted = self._client.report_usage(counts, stamp)
        self._log.decide(
            'usage.reported',
            str(window_id),
            outcome=str(accepted),
            fence=stamp.fence,
            total=sum(number for _, number in counts.counts),
        )
        if accepted:
            self._reported.add(window_id)

    def _close(self, window_id: int) -> WindowCounts | None:
        """Fix the figures of a window for good; None: not yet possible.

        The record is created once. Whoever reports the window, now or after
        a change of holder, reports what it says, so that no two reports of
        one window differ.
        """
        listing = self._store.perform(
            StoreList(OperationId('counts'), f'{COUNTS_PREFIX}{window_id}/')
        )
        if not isinstance(listing, StoreListing):
            self._tell_open(window_id, 'the counts cannot be read')
            return None
        parts = [
            self._dialect.read_counts(window_id, item.value or '')
            for item in listing.items
        ]
        total = add_up([part for part in parts if part is not None])
        if not total:
            self._tell_open(window_id, 'nothing was counted')
            return None
        counts = WindowCounts(window_id, total)
        text = self._dialect.write_counts(counts)
        key = f'{REPORTS_PREFIX}{window_id}'
        answer = self._records.write(key, text, 0)
        if isinstance(answer, StoreConflict) and answer.present.value:
            return self._dialect.read_counts(window_id, answer.present.value)
        if isinstance(answer, StoreWritten):
            return counts
        self._tell_open(window_id, 'the record cannot be written')
        return None

    def _tell_open(self, window_id: int, cause: str) -> None:
        self._log.decide(
            'usage.open', str(window_id), outcome='tried again', cause=cause
        )
