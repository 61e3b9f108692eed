"""The part of a soak in which all requests can be served."""

from collections.abc import Callable, Iterator, Sequence

import eventlet
from eventlet.greenthread import GreenThread

from dandelionyoke_gateway import clock_s
from tests.soak.callers import Surroundings
from tests.soak.faults import Fault
from tests.soak.paced_callers import PacedCaller
from tests.soak.paced_plan import plan_paced
from tests.soak.record import PACED, CallerCall, Part, SoakRecord
from tests.soak.targets import SoakTarget

CALLERS_PER_NODE = 6
# Streams last long enough for each silence and standstill to come within some.
EVENT_INTERVAL_S = 0.1
# What the calls before it have left behind ends within this time.
WARM_S = 2.0
AFTER_S = 2.0


class PacedPart:
    """Plays the part once the other callers have ended."""

    def __init__(
        self, surroundings: Surroundings, targets: Sequence[SoakTarget]
    ) -> None:
        self._record = surroundings.record
        self._callers = [
            PacedCaller(f'paced-{name}.{number}', home, surroundings)
            for home, (name, _) in enumerate(surroundings.nodes)
            for number in range(CALLERS_PER_NODE)
        ]
        self._targets = targets

    def play(self, seed: int, inject: Callable[[Fault], None]) -> None:
        """Play the part, and wait for the answer to each of its requests."""
        for target in self._targets:
            target.event_interval_s = EVENT_INTERVAL_S
        threads = [eventlet.spawn(caller.run) for caller in self._callers]
        eventlet.sleep(WARM_S)
        start_s = clock_s()
        _play_faults(plan_paced(seed), inject)
        eventlet.sleep(AFTER_S)
        for caller in self._callers:
            caller.is_ended = True
        for thread in threads:
            thread.wait()
        self._record.parts.append(Part(PACED, start_s, clock_s()))


def _play_faults(faults: list[Fault], inject: Callable[[Fault], None]) -> None:
    threads: list[GreenThread] = [
        eventlet.spawn_after(fault.at_s, inject, fault) for fault in faults
    ]
    for thread in threads:
        thread.wait()


def describe_in_flight(record: SoakRecord) -> Iterator[str]:
    """Describe how many requests of the part were in flight beside what."""
    for part in record.parts:
        if part.name == PACED:
            calls = [call for call in record.calls if part.has(call.sent_s)]
            yield f'{part.name}, in flight: {_count(record, part, calls)}'


def _count(record: SoakRecord, part: Part, calls: list[CallerCall]) -> str:
    moments = [
        *((work.kind, work.node, work.at_s) for work in record.planned),
        *((span.kind, span.node, span.start_s) for span in record.spans),
    ]
    totals: dict[str, list[int]] = {}
    for kind, node, at_s in moments:
        if not part.has(at_s):
            continue
        beside = [
            call
            for call in calls
            if call.sent_s <= at_s < call.ended_s and node in {'', call.node}
        ]
        total = totals.setdefault(kind, [0, 0])
        total[0] += len(beside)
        total[1] += sum(0 < call.begun_s <= at_s for call in beside)
    return ', '.join(
        f'{kind} {count} ({begun} begun)'
        for kind, (count, begun) in totals.items()
    )
