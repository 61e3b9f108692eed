"""The duty of the fleet: who holds it, and until when."""

from eventlet import spawn_n
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
    PeersKnown,
    StoreAnswered,
    Woken,
    WriteLog,
)
from dandelionyoke_gateway._clock import clock_s
from dandelionyoke_gateway._knowledge import Knowledge
from dandelionyoke_gateway._log import DecisionLog
from dandelionyoke_gateway._ports import (
    DutyStamp,
    Store,
)

DUTY_NAME = 'fleet'
ALL_DOMAINS = Domain('all')

# The lease outlives three renewals that are lost, one after the other; a
# holder that is killed is replaced after it, which leaves time to report a
# window before it is due.
MIN_LEASE_TTL_S = 4.0
RENEW_INTERVAL_S = 1.0
RENEW_RETRY_INTERVAL_S = 0.3
# The store answers within milliseconds; past this an answer is lost.
CALL_TIMEOUT_S = 1.0
INITIAL_BACKOFF_S = 0.2
MAX_BACKOFF_S = 0.8

# While nobody holds the duty nothing is ordered; a look costs a call of each
# node.
POLL_INTERVAL_S = 2.5
# So many of the nodes try to get the duty, or the looks would grow with the
# fleet; fewer could all lie in a domain that is lost.
MAX_CANDIDATES = 6
# A former holder stays away for the time in which two holders may not take
# turns, and this factor of it.
RETURN_PAUSE_FACTOR = 1.5

# An order may be on its way for so long before its connection is reset. It
# must not arrive after the end of its holder's term.
MAX_SEND_TIME_S = 1.0


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
        self._own_id = InstanceId(settings.instance_id)
        own_instance = Instance(self._own_id, ALL_DOMAINS, '', '')
        self._authority = AuthorityPart(
            AuthoritySettings(
                ttl_s=max(
                    MIN_LEASE_TTL_S, settings.duty_turn_s + RENEW_INTERVAL_S
                ),
                renew_interval_s=RENEW_INTERVAL_S,
                renew_retry_s=RENEW_RETRY_INTERVAL_S,
                look_interval_s=POLL_INTERVAL_S,
                return_pause_s=RETURN_PAUSE_FACTOR * settings.duty_turn_s,
                call_timeout_s=CALL_TIMEOUT_S,
                candidates=MAX_CANDIDATES,
                back_off=BackOffSettings(
                    first_s=INITIAL_BACKOFF_S, longest_s=MAX_BACKOFF_S
                ),
            ),
            DUTY_NAME,
            own_instance,
            knowledge.random,
        )
        self._fencing_token = 0
        self._held_until_s = 0.0

    @property
    def stamp(self) -> DutyStamp | None:
        """The authority to act right now; None: there is none."""
        send_until_s = self._held_until_s - MAX_SEND_TIME_S
        if clock_s() >= send_until_s:
            return None
        return DutyStamp(self._own_id, self._fencing_token, send_until_s)

    def run(self) -> None:
        """Take part for as long as the process lives."""
        self._handle_event(PeersKnown((self._own_id,), (self._own_id,)))
        while True:
            self._handle_event(self._next_event())

    def take_members(self, members: tuple[str, ...]) -> None:
        """Take which nodes there are; a few of them try to get the duty."""
        member_ids = tuple(InstanceId(member) for member in members)
        self._inbox.put(PeersKnown(member_ids, member_ids))

    def leave(self) -> None:
        """Hand the duty over."""
        self._inbox.put(Leaving())

    def _next_event(self) -> Event:
        wakeup_s = self._authority.next_wakeup_s()
        wait_s = None if wakeup_s is None else max(0, wakeup_s - clock_s())
        try:
            event: Event = self._inbox.get(timeout=wait_s)
        except Empty:
            return Woken()
        return event

    def _handle_event(self, event: Event) -> None:
        for output in self._authority.handle(event, clock_s()):
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
        self._inbox.put(StoreAnswered(operation_id, answer))
