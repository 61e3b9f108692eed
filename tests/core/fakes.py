"""Fakes of the collaborators of the request handling of an entry."""

from collections import Counter, deque
from collections.abc import Iterator
from random import Random
from typing import Any, TypeVar

import dandelionyoke_core as core

Wanted = TypeVar('Wanted')

ORGANISATION = core.Organisation('duka')
SNAPSHOT = core.Snapshot(
    1,
    {'duka': ORGANISATION},
    {},
    {
        'route-assistant': core.Service('route-assistant'),
        'ledger-desk': core.Service(
            'ledger-desk',
            core.ServiceKind.PLAIN,
            unrepeatable=('POST /returns/*', 'PUT /stock'),
        ),
    },
    {'crate-model': core.Model('crate-model', 'route-assistant')},
)


class Store:
    """The key-value store of the platform, in memory and with revisions."""

    def __init__(self) -> None:
        self.items: dict[str, core.StoreItem] = {}
        self.revision = 0

    def perform(self, action: core.Action) -> core.StoreResult:
        if isinstance(action, core.StoreGet):
            return self._current_item(action.key)
        assert isinstance(action, core.StorePut | core.StoreDelete)
        current = self._current_item(action.key)
        if current.revision != action.expected_revision:
            return core.StoreConflict(current)
        self.revision += 1
        value = action.value if isinstance(action, core.StorePut) else None
        if value is None:
            self.items.pop(action.key)
        else:
            self.items[action.key] = core.StoreItem(
                action.key, self.revision, value
            )
        return core.StoreWritten(action.key, self.revision)

    def _current_item(self, key: str) -> core.StoreItem:
        return self.items.get(key, core.StoreItem(key, 0, None))


class ConfigurationView:
    snapshot = SNAPSHOT

    def knowledge_age_s(self, now_s: float) -> float | None:
        return 0


class Authenticator:
    def authenticate(
        self, bearer_key: str, now_s: float
    ) -> core.Identity | core.Refusal:
        if bearer_key.startswith('key'):
            return core.Identity(ORGANISATION, f'hash of {bearer_key}')
        return core.Refusal(
            core.RefusalKind.UNAUTHENTICATED, 'No such key', 'Ask'
        )


class Admitter:
    """Return `decision` for each call and record the calls it holds."""

    def __init__(self) -> None:
        self.decision: Any = core.Admitted()
        self.held: set[str] = set()
        self.served: Counter[str] = Counter()

    def offer(self, ticket: core.Ticket, now_s: float) -> Any:
        if not isinstance(self.decision, core.Refusal):
            self.held.add(ticket.request_id)
        return self.decision

    def withdraw(self, request_id: str, now_s: float) -> None:
        self.held.remove(request_id)

    def finish(
        self,
        request_id: str,
        prompt_tokens: int,
        output_tokens: int,
        now_s: float,
    ) -> None:
        self.held.remove(request_id)
        self.served[request_id] += output_tokens

    def retry_after_s(self, service: str, now_s: float) -> float:
        return 3


class Router:
    """Choose the first target of the service that is not avoided."""

    def __init__(self, targets: tuple[core.Target, ...]) -> None:
        self.targets = targets
        self.is_silent = False
        self.running: dict[str, core.TargetId] = {}
        self.requirements: list[core.RouteRequirements] = []

    def choose(
        self, requirements: core.RouteRequirements, now_s: float
    ) -> core.Target | core.NoRoute:
        self.requirements.append(requirements)
        for target in self.targets:
            allowed = target.target_id not in requirements.excluded_targets
            if allowed and target.service == requirements.service:
                return target
        return core.NoRoute('all targets are avoided', 2, self.is_silent)

    def find(self, target_id: core.TargetId) -> core.Target | None:
        return next(
            (
                target
                for target in self.targets
                if target.target_id == target_id
            ),
            None,
        )

    def dispatched(
        self,
        attempt_id: str,
        target_id: core.TargetId,
        requirements: core.RouteRequirements,
        now_s: float,
    ) -> None:
        self.running[attempt_id] = target_id

    def progressed(self, attempt_id: str, tokens: int, now_s: float) -> None:
        assert attempt_id in self.running

    def ended(
        self, attempt_id: str, now_s: float, failed: bool = False
    ) -> None:
        self.running.pop(attempt_id)


def engine(name: str) -> core.Target:
    return core.Target(
        core.TargetId(name), 'route-assistant', 'ubungo', f'{name}:80'
    )


def plain_target(name: str) -> core.Target:
    return core.Target(
        core.TargetId(name),
        'ledger-desk',
        'ubungo',
        f'{name}:80',
        core.TargetKind.PLAIN,
    )


TARGETS = (*map(engine, 'abcd'), *map(plain_target, 'xyz'))


class Gossip:
    """Replace membership and keep the records that an entry shares."""

    handles = (core.ReplicateRecord,)

    def __init__(self) -> None:
        self.shared: list[core.SharedRecord] = []

    def handle(self, event: core.Event, now_s: float) -> list[Any]:
        assert isinstance(event, core.ReplicateRecord)
        self.shared.append(event.record)
        return []

    def next_wakeup_s(self) -> float | None:
        return None


class Usage:
    """Replace usage and sum the delivered requests and tokens."""

    handles = (core.UsageDelivered,)

    def __init__(self) -> None:
        self.requests = 0
        self.prompt_tokens = 0
        self.output_tokens = 0

    def handle(self, event: core.Event, now_s: float) -> list[Any]:
        assert isinstance(event, core.UsageDelivered)
        self.requests += event.requests
        self.prompt_tokens += event.prompt_tokens
        self.output_tokens += event.output_tokens
        return []

    def next_wakeup_s(self) -> float | None:
        return None


class Entry:
    """The parts of one entry that handle calls, with a simulated clock."""

    def __init__(
        self,
        name: str = 'entry-1',
        settings: core.RequestSettings = core.RequestSettings(),
        idempotency: core.IdempotencySettings = core.IdempotencySettings(),
        quarantine: core.QuarantineSettings = core.QuarantineSettings(),
        seed: int = 1,
        started_wall_s: float = 1_000_000.0,
    ) -> None:
        self.now_s = 100.0
        self.name = name
        self.admitter = Admitter()
        self.router = Router(TARGETS)
        self.idempotency = core.IdempotencyPart(
            idempotency, core.InstanceId(name), Random(f'{name}{seed}')
        )
        self.quarantine = core.QuarantinePart(quarantine)
        self.request = core.RequestPart(
            settings,
            ConfigurationView(),
            Authenticator(),
            self.admitter,
            self.router,
            self.idempotency,
            self.quarantine,
            Random(seed),
        )
        self.gossip, self.usage = Gossip(), Usage()
        self.node = core.Composition(
            (
                self.quarantine,
                self.idempotency,
                self.request,
                self.gossip,
                self.usage,
            )
        )
        self.said: list[core.Action] = []
        self.tell(core.Started(started_wall_s))

    def tell(self, event: core.Event) -> list[core.Action]:
        actions = self.node.handle(event, self.now_s)
        self.said += actions
        return actions

    def wait(self, duration_s: float) -> list[core.Action]:
        """Advance the clock and deliver every wake-up that becomes due."""
        until_s = self.now_s + duration_s
        actions: list[core.Action] = []
        while (wakeup_s := self.node.next_wakeup_s()) is not None:
            if wakeup_s > until_s:
                break
            self.now_s = max(self.now_s, wakeup_s)
            actions += self.tell(core.TimerFired())
        self.now_s = until_s
        return actions

    def all(self, kind: type[Wanted]) -> list[Wanted]:
        return [action for action in self.said if isinstance(action, kind)]

    def last(self, kind: type[Wanted]) -> Wanted:
        return self.all(kind)[-1]

    def refusal(self, request_id: str) -> core.Refusal | None:
        refusals = [
            action.refusal
            for action in self.all(core.RefuseCall)
            if action.request_id == request_id
        ]
        assert len(refusals) < 2, refusals
        return refusals[0] if refusals else None


def ask(
    name: str = 'r1', prompt: str = 'three crates', **more: Any
) -> core.Event:
    return core.CompletionRequested(
        name, 'key-1', 'crate-model', prompt, 8, **more
    )


def confirm(name: str = 'r1', **more: Any) -> core.Event:
    fields = {
        'method': 'POST',
        'path': '/returns/7',
        'idempotency_key': 'k1',
        'body': b'4 crates',
        **more,
    }
    return core.ServiceCallRequested(name, 'key-1', 'ledger-desk', **fields)


def serve(
    entry: Entry, store: Store, actions: list[core.Action]
) -> list[core.Action]:
    """Perform each store operation at once, until none is left."""
    waiting = deque(actions)
    done: list[core.Action] = []
    while waiting:
        action = waiting.popleft()
        done.append(action)
        if isinstance(action, core.StoreGet | core.StorePut | core.StoreDelete):
            result = store.perform(action)
            waiting += entry.tell(
                core.StoreResponded(action.operation_id, result)
            )
    return done


def schedules(deviations: int, limit: int) -> Iterator['Schedule']:
    """Generate all schedules with at most `deviations` non-default choices.

    Each run asks its schedule which option comes next; option 0 is the
    default. At most `limit` schedules are generated.
    """
    waiting: deque[tuple[int, ...]] = deque(((),))
    for _ in range(limit):
        if not waiting:
            return
        schedule = Schedule(waiting.popleft())
        yield schedule
        if sum(map(bool, schedule.prefix)) < deviations:
            waiting += schedule.branches()


class Schedule:
    """The recorded choices of one run, which can be replayed."""

    def __init__(self, prefix: tuple[int, ...]) -> None:
        self.prefix = prefix
        self.options: list[int] = []

    def choose(self, options: int) -> int:
        step = len(self.options)
        self.options.append(options)
        return self.prefix[step] if step < len(self.prefix) else 0

    def branches(self) -> Iterator[tuple[int, ...]]:
        done = len(self.prefix)
        for step in range(done, len(self.options)):
            for option in range(1, self.options[step]):
                yield (*self.prefix, *(0,) * (step - done), option)
