"""Targets that stop answering for a while and go on."""

from collections.abc import Callable

import eventlet

from dandelionyoke_gateway import clock_s
from dandelionyoke_standins._relay import Relay
from tests.soak.configuration import CHANGES
from tests.soak.faults import Fault
from tests.soak.record import SoakRecord, Span
from tests.soak.targets import SoakTarget

# The new configuration comes after this share of the silence.
CHANGE_SHARE = 0.2
SERVICES = 3


class Silences:
    """Silences one target, half or all targets of a service.

    Beside each silence comes a new configuration. What was sent to a target
    is delivered to it when it goes on.
    """

    def __init__(
        self, record: SoakRecord, change: Callable[[str], None]
    ) -> None:
        self._record = record
        self._change = change
        self._targets: dict[str, list[tuple[SoakTarget, Relay]]] = {}
        self._silent_ids: set[str] = set()

    def add(self, target: SoakTarget, link: Relay) -> None:
        """Add a target and the path that all nodes have to it."""
        self._targets.setdefault(target.service, []).append((target, link))

    def inject(self, fault: Fault) -> None:
        """Silence the targets that a fault selects, and let them go on."""
        index, service = divmod(fault.index, len(self._targets))
        index, extent = divmod(index, len(_EXTENTS))
        first, change = divmod(index, len(CHANGES))
        chosen = self._choose(service, _EXTENTS[extent], first)
        start_s = clock_s()
        for target, link in chosen:
            self._silent_ids.add(target.target_id)
            _silence(target, link, fault.action)
        eventlet.sleep(CHANGE_SHARE * fault.duration_s)
        self._change(CHANGES[change])
        eventlet.sleep((1 - CHANGE_SHARE) * fault.duration_s)
        for target, link in chosen:
            self._silent_ids.discard(target.target_id)
            _go_on(target, link, fault.action)
        kind = {'stop': 'silence', 'hold': 'held'}[fault.action]
        self._record.spans.append(Span(kind, '', start_s, clock_s()))

    def _choose(
        self, service: int, share: float, first: int
    ) -> list[tuple[SoakTarget, Relay]]:
        targets = self._targets[sorted(self._targets)[service]]
        first %= len(targets)
        count = max(1, round(share * len(targets)))
        chosen = (targets[first:] + targets[:first])[:count]
        return [
            (target, link)
            for target, link in chosen
            if target.target_id not in self._silent_ids
        ]


def index_silence(service: int, extent: int, change: int, first: int) -> int:
    """Return the index of a fault that selects these by their numbers."""
    index = first * len(CHANGES) + change
    return (index * len(_EXTENTS) + extent) * SERVICES + service


# Shares of the targets of a service; at least one target.
_EXTENTS = (0.0, 0.5, 1.0)


def _silence(target: SoakTarget, link: Relay, action: str) -> None:
    if action == 'stop':
        target.server.fall_silent()
    else:
        link.hold()


def _go_on(target: SoakTarget, link: Relay, action: str) -> None:
    if action == 'stop':
        target.server.go_on()
    else:
        link.release()
