"""Logs and metrics of the prefill queue."""

import enum

from dandelionyoke_core import CountMetric
from dandelionyoke_dispatch import PromptQueue, QueuedPrompt
from dandelionyoke_gateway._clock import clock_s
from dandelionyoke_gateway._log import DecisionLog

MILLISECONDS_PER_S = 1000


@enum.unique
class RefusalTime(enum.Enum):
    """When the queue refused a call."""

    ARRIVAL = 'at arrival'
    WAITING = 'while waiting'


class PrefillLog:
    """Records the decisions of a node that shares engine time.

    It records nothing before it is attached.
    """

    def __init__(self) -> None:
        self._log: DecisionLog | None = None

    def attach(self, log: DecisionLog) -> None:
        """Set the log of this process."""
        self._log = log

    def granted(self, queued_prompt: QueuedPrompt, waited_s: float) -> None:
        """Record the engine time that an organisation gets, and its wait."""
        if self._log is None:
            return
        self._log.observe('prefill.wait', waited_s)
        self._log.count(
            CountMetric(
                'prefill.granted_ms',
                round(MILLISECONDS_PER_S * queued_prompt.work_s),
                queued_prompt.organisation,
            )
        )

    def refused(
        self,
        queued_prompt: QueuedPrompt,
        refused_at: RefusalTime,
        queue: PromptQueue,
        retry_after_s: float,
    ) -> None:
        """Log a refusal with the state of the queue."""
        if self._log is None:
            return
        now_s = clock_s()
        self._log.count(CountMetric('prefill.refused', label=refused_at.value))
        self._log.decide(
            'prefill.refused',
            queued_prompt.ticket_id,
            outcome=refused_at.value,
            organisation=queued_prompt.organisation,
            route=queued_prompt.route,
            rank=queued_prompt.rank,
            tokens=queued_prompt.tokens,
            work_s=queued_prompt.work_s,
            first_arrived_s=now_s - queued_prompt.arrived_s,
            time_left_s=queued_prompt.deadline_s - now_s,
            retry_after_s=retry_after_s,
            **queue.inputs(now_s),
        )
