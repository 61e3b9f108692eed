"""Leader election for the fleet: the duty, held under a lease in the store.

The duty's holder is the one node that orders engines and reports usage.
"""

from eventlet import spawn_n
from eventlet.queue import Empty, LightQueue

from dandelionyoke_core import (
    Action,
    BackOffSettings,
    Domain,
    DutyExtended,
    DutyGained,
    DutyLeasePart,
    DutyLeaseSettings,
    DutyLost,
    Event,
    Instance,
    InstanceId,
    Leaving,
    LivePeersChanged,
    StoreReplaced,
    StoreResponded,
    TimerFired,
    WriteLog,
)
from dandelionyoke_gateway._clock import clock_s
from dandelionyoke_gateway._knowledge import Knowledge
from dandelionyoke_gateway._log import DecisionLog
from dandelionyoke_gateway._ports import (
    FencingStamp,
    Store,
)

DUTY_NAME = 'fleet'
ALL_DOMAINS = Domain('all')

# The lease outlives three lost renewals in a row. A killed holder is replaced
# when its lease expires, early enough to report a usage window in time.
MIN_LEASE_TTL_S = 4.0
RENEW_INTERVAL_S = 1.0
RENEW_RETRY_INTERVAL_S = 0.3
# The store answers within milliseconds; after this an answer counts as lost.
CALL_TIMEOUT_S = 1.0
INITIAL_BACKOFF_S = 0.2
MAX_BACKOFF_S = 0.8

# How often candidates check whether the duty is free. Nothing is ordered
# while nobody holds it; each check costs one store call per candidate.
POLL_INTERVAL_S = 2.5
# Only this many nodes compete for the duty, because store calls would
# otherwise grow with the fleet. With fewer, all of them could be in a failure
# domain that is lost.
MAX_CANDIDATES = 6
# Two holders may not alternate within `duty_turn_s`. A former holder does not
# compete for this many times that period.
RETURN_PAUSE_FACTOR = 1.5

# The longest time that an order may be in transit before its connection is
# reset. It must not arrive after its holder's lease has ended.
MAX_SEND_TIME_S = 1.0


class DutyTask:
    """Competes for the duty and renews its lease while this node holds it."""

    def __init__(
        self, knowledge: Knowledge, store: Store, log: DecisionLog
    ) -> None:
        settings = knowledge.settings
        self._knowledge = knowledge
        self._store = store
        self._log = log
        self._inbox: LightQueue = LightQueue()
        self._own_id = InstanceId(settings.instance_id)
        own_instance = Instance(self._own_id, ALL_DOMAINS, '', '')
        self._duty_lease = DutyLeasePart(
            DutyLeaseSettings(
                ttl_s=max(
                    MIN_LEASE_TTL_S, settings.duty_turn_s + RENEW_INTERVAL_S
                ),
                renew_interval_s=RENEW_INTERVAL_S,
                renew_retry_s=RENEW_RETRY_INTERVAL_S,
                check_interval_s=POLL_INTERVAL_S,
                reacquire_delay_s=RETURN_PAUSE_FACTOR * settings.duty_turn_s,
                call_timeout_s=CALL_TIMEOUT_S,
                candidates=MAX_CANDIDATES,
                back_off=BackOffSettings(
                    initial_s=INITIAL_BACKOFF_S, max_s=MAX_BACKOFF_S
                ),
            ),
            DUTY_NAME,
            own_instance,
            knowledge.random,
        )
        self._fencing_token = 0
        self._held_until_s = 0.0

    @property
    def stamp(self) -> FencingStamp | None:
        """The authority to act now; None if this node does not hold the duty.

        Its time limit ends `MAX_SEND_TIME_S` before the lease does.
        """
        send_until_s = self._held_until_s - MAX_SEND_TIME_S
        if clock_s() >= send_until_s:
            return None
        return FencingStamp(self._own_id, self._fencing_token, send_until_s)

    def run(self) -> None:
        """Compete for the duty until the process exits."""
        self._handle_event(LivePeersChanged((self._own_id,), (self._own_id,)))
        while True:
            self._handle_event(self._next_event())

    def take_members(self, members: tuple[str, ...]) -> None:
        """Update the list of nodes; a few of them compete for the duty."""
        member_ids = tuple(InstanceId(member) for member in members)
        self._inbox.put(LivePeersChanged(member_ids, member_ids))

    def store_replaced(self) -> None:
        """Give the duty up, as the store may have lost it."""
        self._inbox.put(StoreReplaced())

    def leave(self) -> None:
        """Release the duty so that another node can take it."""
        self._inbox.put(Leaving())

    def _next_event(self) -> Event:
        wakeup_s = self._duty_lease.next_wakeup_s()
        wait_s = None if wakeup_s is None else max(0, wakeup_s - clock_s())
        try:
            event: Event = self._inbox.get(timeout=wait_s)
        except Empty:
            return TimerFired()
        return event

    def _handle_event(self, event: Event) -> None:
        for output in self._duty_lease.handle(event, clock_s()):
            match output:
                case DutyGained() | DutyExtended():
                    self._fencing_token = output.fence
                    self._held_until_s = output.until_s
                case DutyLost():
                    self._held_until_s = 0.0
                case WriteLog():
                    self._log.decide(
                        output.kind, output.subject, outcome=output.detail
                    )
                case Action():
                    spawn_n(self._perform, output)

    def _perform(self, action: Action) -> None:
        answer = self._store.perform(action)
        operation_id = getattr(action, 'operation_id')  # noqa: B009
        self._inbox.put(StoreResponded(operation_id, answer))
