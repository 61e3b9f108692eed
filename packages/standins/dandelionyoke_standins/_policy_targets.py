"""The targets of a run at work: attempts, progress, and what breaks."""

from collections.abc import Sequence
from functools import partial

import attrs

from dandelionyoke_core import (
    AttemptEnded,
    AttemptFailed,
    AttemptId,
    AttemptRefused,
    Domain,
    Presence,
    RequestId,
    TargetId,
    TokensArrived,
)
from dandelionyoke_standins._policy_caller import StartWork
from dandelionyoke_standins._policy_clock import VirtualClock
from dandelionyoke_standins._policy_engine import EngineFake, Progress, Work
from dandelionyoke_standins._policy_ledger import Ledger
from dandelionyoke_standins._policy_nodes import HOP_S, Network, NodeBox
from dandelionyoke_standins._policy_platform import PlatformFake, TargetBox

STEP_S = 0.04
SAMPLE_S = 0.25
SILENCE_S = 2.0
# Nodes hear of some of the tokens only; the ledger counts each.
TELL_TOKENS = 12


@attrs.frozen
class Place:
    """Whose attempt runs where."""

    box: NodeBox
    request_id: RequestId
    target_id: TargetId


class TargetSide:
    """Runs the engines, and breaks them."""

    def __init__(
        self,
        clock: VirtualClock,
        network: Network,
        platform: PlatformFake,
        ledger: Ledger,
    ) -> None:
        self._clock = clock
        self._network = network
        self._platform = platform
        self._ledger = ledger
        self._places: dict[AttemptId, Place] = {}

    def engine(self, target_id: TargetId) -> EngineFake:
        """Find an engine."""
        return self._platform.boxes[target_id].engine

    def reaches(self, box: NodeBox, target_id: TargetId) -> bool:
        """Tell whether an entry gets an answer from a target."""
        target_box = self._platform.boxes[target_id]
        if not target_box.serves(self._clock.now_s):
            return False
        return self._network.joined(box.domain, target_box.target.domain)

    def start_work(self, box: NodeBox, action: StartWork) -> None:
        """Take an attempt, refuse it, or stay silent."""
        target_id = action.target.target_id
        request_id = action.call.request_id
        if not self.reaches(box, target_id):
            silent = AttemptFailed(request_id, action.attempt_id, True, '')
            self._network.give(box, silent, SILENCE_S)
            return
        cause = self.engine(target_id).refusal(self._clock.now_s)
        if cause is not None:
            refused = AttemptRefused(request_id, action.attempt_id, cause)
            self._network.give(box, refused, 2 * HOP_S)
            return
        self._places[action.attempt_id] = Place(box, request_id, target_id)
        self.engine(target_id).add(_work(action))
        self._keep_ticking(self._platform.boxes[target_id])

    def cancel(self, target_id: TargetId, attempt_id: AttemptId) -> None:
        """Drop an attempt."""
        self._places.pop(attempt_id, None)
        self.engine(target_id).cancel(attempt_id)

    def sample_reports(self) -> None:
        """Take figures for the reports, again and again."""
        for box in self._platform.live(self._clock.now_s):
            box.engine.sample(self._clock.now_s)
        self._clock.later(SAMPLE_S, self.sample_reports)

    # What goes wrong.

    def crash(self, target_box: TargetBox) -> None:
        """Let an engine crash and come up again."""
        lost = target_box.engine.restart(self._clock.now_s)
        self._break(lost, 'crashed')

    def end_target(self, target_box: TargetBox, *, reclaimed: bool) -> None:
        """Let a target vanish, with what still runs there."""
        lost = target_box.engine.in_progress()
        target_box.gone_s = self._clock.now_s
        for attempt_id in lost if reclaimed else ():
            self._ledger.reclaimed(self._places[attempt_id].request_id)
        self._break(lost, 'vanished')

    def cut(self, domain: Domain) -> None:
        """Cut a domain off from the others and from the platform."""
        self._network.set_cut(self._network.cut_off | {domain})
        lost = [
            attempt_id
            for attempt_id, place in self._places.items()
            if not self.reaches(place.box, place.target_id)
        ]
        self._clock.later(SILENCE_S, partial(self._break, lost, 'silent'))

    def heal(self) -> None:
        """Join all domains again."""
        self._network.set_cut(frozenset())

    def reclaim(self, domain: Domain, notice_s: float) -> None:
        """Take all reclaimable targets of a domain, on short notice."""
        for box in tuple(self._platform.live(self._clock.now_s)):
            if box.target.domain == domain and box.target.reclaimable:
                self._platform.mark(box, Presence.RECLAIMED)
                end = partial(self.end_target, box, reclaimed=True)
                self._clock.later(notice_s, end)

    def _keep_ticking(self, target_box: TargetBox) -> None:
        if not target_box.ticking:
            target_box.ticking = True
            self._clock.later(STEP_S, partial(self._tick, target_box))

    def _tick(self, target_box: TargetBox) -> None:
        target_box.ticking = False
        if not target_box.serves(self._clock.now_s):
            return
        engine = target_box.engine
        for progress in engine.step(STEP_S, self._clock.now_s):
            self._put_out(progress)
        if engine.busy:
            self._keep_ticking(target_box)

    def _put_out(self, progress: Progress) -> None:
        attempt_id = progress.attempt_id
        place = self._places.get(attempt_id)
        if place is None or not self.reaches(place.box, place.target_id):
            return
        request_id = place.request_id
        if progress.ended:
            self._places.pop(attempt_id)
            ended = AttemptEnded(
                request_id, attempt_id, 'stop', progress.done, 0
            )
            self._network.give(place.box, ended)
        elif self._is_told(request_id, progress):
            tokens = TokensArrived(request_id, attempt_id, progress.done, ())
            self._network.give(place.box, tokens)
        self._ledger.progress(request_id, progress.done, self._clock.now_s)

    def _is_told(self, request_id: RequestId, progress: Progress) -> bool:
        is_first = self._ledger.stories[request_id].first_s is None
        return is_first or progress.done % TELL_TOKENS < 2

    def _break(self, attempt_ids: Sequence[AttemptId], cause: str) -> None:
        for attempt_id in attempt_ids:
            place = self._places.pop(attempt_id, None)
            if place is not None:
                failed = AttemptFailed(
                    place.request_id, attempt_id, True, cause
                )
                self._network.give(place.box, failed)


def _work(action: StartWork) -> Work:
    call = action.call
    return Work(
        action.attempt_id,
        call.prompt_tokens,
        call.output_tokens,
        call.names,
        done=action.done,
    )
