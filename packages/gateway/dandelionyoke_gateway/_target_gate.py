"""Keeps requests to targets within the rates that these name."""

import eventlet

from dandelionyoke_dispatch import (
    LimitScope,
    RegisteredTarget,
    TargetLimitNote,
)
from dandelionyoke_gateway._clock import clock_s
from dandelionyoke_gateway._knowledge import Knowledge
from dandelionyoke_gateway._limit_messages import UseReported
from dandelionyoke_gateway._log import DecisionLog
from dandelionyoke_gateway._ports import ResponseFacts
from dandelionyoke_gateway._rate_limits import (
    Charge,
    DomainRateLimits,
    OverLimitError,
)

# What this node observed is told to the domain's source node this often.
REPORT_INTERVAL_S = 0.2
# While no target has a limit; the first one is told at once.
IDLE_INTERVAL_S = 1.0
# A refused target is passed over for at least this long.
MIN_WITHHOLD_S = 0.02


class TargetLimitedError(Exception):
    """The target takes no further request now; nothing was sent to it."""

    def __init__(
        self, target_id: str, cause: str = 'gets all the requests that it takes'
    ) -> None:
        super().__init__(f'{target_id} {cause}')


class TargetGate:
    """Asks the domain's limiter before a request to a target with a limit."""

    def __init__(self, knowledge: Knowledge, log: DecisionLog) -> None:
        self._knowledge = knowledge
        self._limits = knowledge.target_limits
        self._log = log
        self.rate_limits = DomainRateLimits(knowledge, log, LimitScope.TARGET)
        self._unreported: set[str] = set()

    def enter(self, target: RegisteredTarget, subject: str) -> None:
        """Count a request; `subject` is the call or task that it is for.

        Raises:
            TargetLimitedError: the target takes none now.
        """
        self.check_rest(target)
        target_id = target.target_id
        if self._limits.rate_of(target_id) is None:
            return
        if self._limits.is_withheld(target_id, clock_s()):
            raise TargetLimitedError(target_id)
        try:
            self.rate_limits.charge(Charge(subject, target_id, 1.0))
        except OverLimitError as error:
            wait_s = max(MIN_WITHHOLD_S, error.over_s)
            self._limits.withhold(target_id, clock_s() + wait_s)
            raise TargetLimitedError(target_id) from error

    def check_rest(self, target: RegisteredTarget) -> None:
        """Check that a target has not asked for rest.

        Raises:
            TargetLimitedError: it has.
        """
        if self._knowledge.rests.is_resting(target, clock_s()):
            raise TargetLimitedError(target.target_id, 'asked for rest')

    def rest_left_s(self, target: RegisteredTarget) -> float:
        """Return how long a target still rests."""
        return self._knowledge.rests.left_s(target, clock_s())

    def observe(self, target: RegisteredTarget, facts: ResponseFacts) -> None:
        """Record the limit that an answer of a target names, or its end."""
        if facts.is_misdirected:
            return
        self._take_notices(target, facts)
        if facts.invalid_limit:
            self._log.decide(
                'target.limit',
                target.target_id,
                outcome='ignored',
                cause=f'{facts.invalid_limit!r} is not a decimal number',
            )
            return
        known_per_s = self._limits.rate_of(target.target_id)
        if facts.limit_per_s is None and known_per_s is None:
            return
        self._unreported.add(target.target_id)
        if self._knowledge.observe_target_limit(target, facts.limit_per_s):
            self._log.decide(
                'target.limit',
                target.target_id,
                outcome='ended' if facts.limit_per_s is None else 'named',
                status=facts.status,
                limit_per_s=facts.limit_per_s,
                known_per_s=known_per_s,
            )
            self._report()

    def mark_leaving(
        self, target_id: str, started_ms: int | None, peer_id: str = ''
    ) -> None:
        """Send no new call to a target that said it leaves.

        `peer_id` is the node that passed its answer on, if any.
        """
        registry = self._knowledge.registry
        if registry.mark_leaving(target_id, started_ms):
            self._log.decide(
                'target.leaving',
                target_id,
                outcome='left out',
                started_ms=started_ms,
                told_by=peer_id,
            )

    def _take_notices(
        self, target: RegisteredTarget, facts: ResponseFacts
    ) -> None:
        """Record that a target leaves, or asks for rest."""
        if facts.is_leaving:
            self.mark_leaving(target.target_id, target.started_ms)
        if facts.rest_s:
            self._knowledge.rests.ask(target, facts.rest_s, clock_s())
            self._log.decide(
                'target.rest',
                target.target_id,
                outcome='left alone',
                rest_s=facts.rest_s,
            )
        if facts.invalid_rest:
            self._log.decide(
                'target.rest',
                target.target_id,
                outcome='ignored',
                cause=f'{facts.invalid_rest!r} is not a decimal number',
            )

    def take(self, notes: tuple[TargetLimitNote, ...], peer_id: str) -> None:
        """Record what another node observed."""
        if self._knowledge.take_target_limits(notes):
            self._log.decide(
                'target.limits',
                peer_id,
                outcome='told',
                limits=','.join(
                    f'{note.target_id}:{note.rate_per_s}' for note in notes
                ),
                oldest_s=max(note.age_s for note in notes),
            )

    def notes(self) -> tuple[TargetLimitNote, ...]:
        """Return the limits and their ends that other nodes should know."""
        return self._limits.notes(clock_s())

    def run(self) -> None:
        """Report observations to the domain's source until the process exits.

        An answer that names the same limit again is reported as well: it is
        newer than what another node may have observed.
        """
        while True:
            is_used = self.rate_limits.limiter.has_limits
            eventlet.sleep(REPORT_INTERVAL_S if is_used else IDLE_INTERVAL_S)
            self._report()

    def _report(self) -> None:
        notes = tuple(
            note for note in self.notes() if note.target_id in self._unreported
        )
        if not notes:
            self._unreported.clear()
            return
        message = UseReported({}, LimitScope.TARGET, notes)
        if self.rate_limits.send_to_source(message):
            self._unreported.clear()
