"""The prefill queue of a failure domain, as each of its nodes sees it."""

import itertools

import attrs
from eventlet.queue import Empty, LightQueue

from dandelionyoke_core import InstanceId
from dandelionyoke_dispatch import PrefillHome, RegisteredTarget, TargetFailure
from dandelionyoke_gateway._clock import clock_s
from dandelionyoke_gateway._domain_source import DomainSource
from dandelionyoke_gateway._knowledge import Knowledge
from dandelionyoke_gateway._log import DecisionLog
from dandelionyoke_gateway._news_desk import Send
from dandelionyoke_gateway._prefill_messages import (
    QUEUED_INTERVAL_S,
    PrefillAsked,
    PrefillEnded,
    PrefillTold,
    PrefillVerdict,
    TargetFailed,
)
from dandelionyoke_gateway._prefill_queue import (
    LocalPrefillQueue,
    PrefillGrant,
    PrefillRequest,
    PrefillResult,
    TooLateError,
)

# A sound node of the domain answers within milliseconds, or after it has read
# a new configuration.
ANSWER_TIMEOUT_S = 0.2
NUMBER_BITS = 48


@attrs.frozen
class _Question:
    number: int
    peer_id: InstanceId
    answers: LightQueue = attrs.field(factory=LightQueue)


class DomainPrefillQueue:
    """Asks the node that places for the domain; places itself without it."""

    def __init__(
        self, local: LocalPrefillQueue, knowledge: Knowledge, log: DecisionLog
    ) -> None:
        self._local = local
        self._knowledge = knowledge
        self._log = log
        self._source = DomainSource(knowledge)
        # Another process of this instance may have places there still.
        first_number = knowledge.random.getrandbits(NUMBER_BITS)
        self._numbers = itertools.count(first_number)
        # By the turn id of the grant that may follow.
        self._questions: dict[str, _Question] = {}

    def attach(self, send: Send) -> None:
        """Take how messages leave, once there are links."""
        self._source.attach(send)
        self._knowledge.loads.listen(self._report)

    def enter(self, request: PrefillRequest) -> PrefillGrant:
        """Wait for an engine."""
        peer_id = self._source.find()
        if peer_id is not None:
            grant = self._ask(peer_id, request)
            if grant is not None:
                return grant
        return self._local.enter(request)

    def leave(self, grant: PrefillGrant, result: PrefillResult) -> None:
        """Give a place back to whoever gave it."""
        question = self._questions.pop(grant.turn_id, None)
        if question is None:
            self._local.leave(grant, result)
            return
        self._tell_end(question, result)
        if result.read_s is not None:
            watch = self._knowledge.watch_of(grant.request.service)
            watch.pace.took(grant.request.prompt, result.read_s)

    def told(self, told: PrefillTold) -> None:
        """Take an answer."""
        question = self._questions.get(_turn_id(told.number))
        if question is not None:
            question.answers.put(told)

    def lost(self, peer_id: InstanceId) -> None:
        """End the questions to a node whose link has ended."""
        for question in tuple(self._questions.values()):
            if question.peer_id == peer_id:
                question.answers.put(None)

    def _ask(
        self, peer_id: InstanceId, request: PrefillRequest
    ) -> PrefillGrant | None:
        """Ask a node; None: it cannot tell, and this one decides.

        Raises:
            TooLateError: no engine could begin while that is of use.
        """
        question = _Question(next(self._numbers), peer_id)
        turn_id = _turn_id(question.number)
        self._questions[turn_id] = question
        try:
            home = self._await_home(question, request)
        except BaseException:
            self._withdraw(turn_id)
            raise
        if home is None:
            self._withdraw(turn_id)
            return None
        return PrefillGrant(request, turn_id, home, peer_id)

    def _await_home(
        self, question: _Question, request: PrefillRequest
    ) -> PrefillHome | None:
        asked = _message(question.number, request)
        if not self._source.send(question.peer_id, asked):
            return None
        until_s = clock_s() + ANSWER_TIMEOUT_S
        while (told := _next(question, until_s)) is not None:
            self._suspect(told)
            match told.verdict:
                case PrefillVerdict.GRANTED:
                    return self._home(told, request)
                case PrefillVerdict.TOO_LATE:
                    raise TooLateError(told.retry_after_s)
                case PrefillVerdict.NO_ENGINE:
                    return None
            until_s = clock_s() + QUEUED_INTERVAL_S + ANSWER_TIMEOUT_S
        self._pause(question.peer_id)
        return None

    def _home(
        self, told: PrefillTold, request: PrefillRequest
    ) -> PrefillHome | None:
        """Find the engines that were named, as this node knows them.

        It may know that one has left which the other node still lists.
        """
        target = self._usable(told.target_id, request)
        if target is None:
            return None
        return PrefillHome(
            target, self._knowledge.registry.find(told.source_id)
        )

    def _usable(
        self, target_id: str, request: PrefillRequest
    ) -> RegisteredTarget | None:
        target = self._knowledge.registry.find(target_id)
        if target is None or target.is_leaving:
            return None
        is_other = target.service != request.service
        if is_other or target_id in request.avoid:
            return None
        return target

    def _suspect(self, told: PrefillTold) -> None:
        for target_id in told.suspects:
            self._knowledge.loads.suspected(target_id, clock_s())

    def _report(self, target_id: str, failure: TargetFailure) -> None:
        """Tell a failure to the node that places calls there."""
        peer_id = self._source.find()
        if peer_id is not None:
            self._source.send(peer_id, TargetFailed(target_id, failure))

    def _withdraw(self, turn_id: str) -> None:
        question = self._questions.pop(turn_id, None)
        if question is not None:
            self._tell_end(question, PrefillResult())

    def _tell_end(self, question: _Question, result: PrefillResult) -> None:
        ended = PrefillEnded(question.number, result.read_s)
        self._source.send(question.peer_id, ended)

    def _pause(self, peer_id: InstanceId) -> None:
        self._source.was_silent()
        self._log.decide('placing.silent', peer_id, outcome='placed here')


def _message(number: int, request: PrefillRequest) -> PrefillAsked:
    now_s = clock_s()
    prompt = request.prompt
    return PrefillAsked(
        number,
        request.service,
        prompt.shared_key,
        prompt.shared_tokens,
        prompt.token_count,
        request.rank,
        now_s - request.arrived_s,
        request.goal_s,
        request.useful_until_s - now_s,
        tuple(sorted(request.avoid)),
    )


def _next(question: _Question, until_s: float) -> PrefillTold | None:
    try:
        told: PrefillTold | None = question.answers.get(
            timeout=max(0, until_s - clock_s())
        )
    except Empty:
        return None
    return told


def _turn_id(number: int) -> str:
    return f'asked.{number}'
