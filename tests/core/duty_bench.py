"""A test bench of a few entries in which the test controls each step.

A test performs one call of an entry, delivers or withholds its answer, and
advances the time for the entries that run. This allows exploring all
interleavings of a few entries.
"""

import copy
from collections.abc import Callable, Iterable
from random import Random
from typing import Any

import attrs

from dandelionyoke_core import (
    Action,
    ApiKey,
    CompletionRequested,
    Domain,
    DutyExtended,
    DutyGained,
    DutyLost,
    DutyRecord,
    Event,
    Instance,
    InstanceId,
    LivePeersChanged,
    Model,
    Notice,
    Organisation,
    Part,
    Put,
    RequestId,
    Service,
    StoreFailed,
    StoreResponded,
    TimerFired,
    hash_key,
    record_from_json,
)
from dandelionyoke_standins import (
    DeploymentPlan,
    EngineGroup,
    EngineSettings,
    NodeSimulation,
    PlatformModel,
    commit,
    deploy,
)
from dandelionyoke_standins._world_store import perform_store

DOMAIN = Domain('ubungo')
NAMES = (InstanceId('entry-0'), InstanceId('entry-1'))
LOST = StoreFailed('the answer was lost', may_have_been_applied=True)
REFUSED = StoreFailed('unavailable', may_have_been_applied=False)


def instance(name: str) -> Instance:
    """Return an instance of an entry in the domain."""
    return Instance(InstanceId(name), DOMAIN, f'http://{name}', f'ws://{name}')


@attrs.define
class Entry:
    """One entry: its parts, pending calls, withheld answers and duties.

    `rate` is the speed of its clock relative to the bench's clock.
    """

    parts: list[Part]
    rate: float = 1.0
    waiting: list[Action] = attrs.field(factory=list)
    withheld: list[Event] = attrs.field(factory=list)
    seen: list[Action] = attrs.field(factory=list)
    fences: dict[str, tuple[int, float]] = attrs.field(factory=dict)

    def take(self, event: Event, now_s: float) -> None:
        """Deliver an event to the parts, and the notices that result."""
        queue: list[Event] = [event]
        while queue:
            self._step(queue.pop(0), now_s * self.rate, queue)

    def believed_fence(self, duty: str, now_s: float) -> int | None:
        """Return the fencing token that the entry believes valid, or None."""
        fence, until_s = self.fences.get(duty, (0, 0.0))
        return fence if now_s * self.rate < until_s else None

    def _step(self, event: Event, now_s: float, queue: list[Event]) -> None:
        for part in self.parts:
            if not isinstance(event, part.handles):
                continue
            for output in part.handle(event, now_s):
                if isinstance(output, Notice):
                    self._record_duty(output)
                    queue.append(output)
                else:
                    self.seen.append(output)
                    self.waiting.append(output)

    def _record_duty(self, notice: Notice) -> None:
        match notice:
            case DutyGained() | DutyExtended():
                self.fences[notice.duty] = (notice.fence, notice.until_s)
            case DutyLost():
                self.fences.pop(notice.duty, None)


class Bench:
    """The entries, the platform and the clock of a test."""

    def __init__(
        self,
        make_parts: Callable[[Instance, Random], list[Part]],
        names: Iterable[InstanceId] = NAMES,
    ) -> None:
        self.platform = PlatformModel()
        self.now_s = 0.0
        self.names = tuple(names)
        self.entries = {
            name: Entry(make_parts(instance(name), Random(index)))
            for index, name in enumerate(self.names)
        }
        self.performed: tuple[type[Action], ...] = ()
        self.perform: Callable[[Bench, str, Action], Event | None] | None = None

    def announce_peers(self) -> None:
        """Announce all entries as live to every entry."""
        for entry in self.entries.values():
            entry.take(LivePeersChanged(self.names, self.names), self.now_s)

    def effect(self, name: str) -> Event | None:
        """Perform the oldest call of an entry and return the answer."""
        action = self._next_call(name)
        if action is None:
            return None
        operation_id = getattr(action, 'operation_id', None)
        if operation_id is None:
            assert self.perform is not None
            return self.perform(self, name, action)
        stored = perform_store(self.platform, action, self.now_s)
        return StoreResponded(operation_id, stored)

    def answer(self, name: str) -> bool:
        """Perform the oldest call and deliver its answer."""
        return self._deliver(name, self.effect(name))

    def lose(self, name: str) -> bool:
        """Perform the oldest call and lose its answer."""
        event = self.effect(name)
        if isinstance(event, StoreResponded):
            event = StoreResponded(event.operation_id, LOST)
        return self._deliver(name, event)

    def withhold(self, name: str) -> bool:
        """Perform the oldest call and hold its answer back: a paused entry."""
        event = self.effect(name)
        if event is not None:
            self.entries[name].withheld.append(event)
        return event is not None

    def resume(self, name: str) -> bool:
        """Deliver the withheld answers to an entry and wake it."""
        entry = self.entries[name]
        events = entry.withheld[:]
        entry.withheld.clear()
        for event in events:
            entry.take(event, self.now_s)
        self.wake(name)
        return bool(events)

    def wake(self, name: str) -> None:
        """Send a wakeup event to an entry."""
        self.entries[name].take(TimerFired(), self.now_s)

    def tick(self, elapsed_s: float, running: Iterable[str]) -> bool:
        """Advance the time and wake the running entries."""
        self.now_s += elapsed_s
        self.platform.store.expire(self.now_s)
        for name in running:
            self.wake(name)
        return True

    def run_without_faults(
        self, until_s: float, running: Iterable[str]
    ) -> None:
        """Run the entries without faults until a time."""
        running = tuple(running)
        while self.now_s < until_s:
            self.tick(0.1, running)
            while any([self.answer(name) for name in running]):
                continue

    def _next_call(self, name: str) -> Action | None:
        waiting = self.entries[name].waiting
        while waiting:
            action = waiting.pop(0)
            is_store = hasattr(action, 'operation_id')
            if is_store or self._is_performed(action):
                return action
        return None

    def _is_performed(self, action: Action) -> bool:
        return isinstance(action, self.performed)

    def _deliver(self, name: str, event: Event | None) -> bool:
        if event is not None:
            self.entries[name].take(event, self.now_s)
        return event is not None


Move = tuple[str, Callable[[Bench], Any]]


def explore(
    bench: Bench,
    moves: Iterable[Move],
    depth: int,
    check: Callable[[Bench, tuple[str, ...]], None],
    path: tuple[str, ...] = (),
) -> int:
    """Check all sequences of moves up to a depth; return the state count."""
    states = 1
    check(bench, path)
    if depth == 0:
        return states
    moves = tuple(moves)
    for name, move in moves:
        branch = copy.deepcopy(bench)
        if move(branch) is not False:
            states += explore(branch, moves, depth - 1, check, (*path, name))
    return states


def fault_moves(first: str, second: str, step_s: float) -> tuple[Move, ...]:
    """Return the moves of two entries, the first of which may be paused."""
    return (
        ('first answered', lambda bench: bench.answer(first)),
        ('first lost', lambda bench: bench.lose(first)),
        ('first withheld', lambda bench: bench.withhold(first)),
        ('first resumes', lambda bench: bench.resume(first)),
        ('second answered', lambda bench: bench.answer(second)),
        ('time for both', lambda bench: bench.tick(step_s, (first, second))),
        ('time for the second', lambda bench: bench.tick(step_s, (second,))),
    )


KEY = 'a key of the depot'


def small_fleet(
    seed: int, entries: int, engines: int
) -> tuple[NodeSimulation, list[InstanceId]]:
    """Start whole nodes in one domain and run until they are connected."""
    simulation = NodeSimulation(seed)
    settings = EngineSettings(models=('crate-lm',))
    group = EngineGroup('assistant', engines, settings)
    plan = DeploymentPlan((DOMAIN,), entries=entries, engines=(group,))
    names = deploy(simulation, plan)
    operations = (
        Put(Organisation('depot')),
        Put(ApiKey(hash_key(KEY), 'depot')),
        Put(Service('assistant')),
        Put(Model('crate-lm', 'assistant')),
    )
    commit(simulation, operations)
    simulation.run(40)
    return simulation, list(names)


def call_all(
    simulation: NodeSimulation, names: Iterable[InstanceId], round_: int
) -> None:
    """Send one call for 20 tokens to each entry."""
    for name in names:
        prompt = f'{name} {round_}: answer 20 tokens'
        request_id = RequestId(f'{name}-{round_}')
        called = CompletionRequested(request_id, KEY, 'crate-lm', prompt, 64)
        simulation.deliver(name, called)


def holder_of(simulation: NodeSimulation, duty: str) -> InstanceId:
    """Return the holder of a duty according to the store."""
    item = simulation.platform.store.read(f'duty/{DOMAIN}/{duty}')
    return record_from_json(item.value or '', DutyRecord).instance_id
