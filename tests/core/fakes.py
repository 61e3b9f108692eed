"""Small fakes at the interfaces of the parts that answer calls."""

from collections import Counter, deque
from collections.abc import Iterator
from random import Random
from typing import Any, TypeVar

from dandelionyoke_core import (
    Action,
    Admitted,
    CallDelivered,
    Composition,
    Event,
    Identity,
    InstanceId,
    Model,
    ModelCalled,
    NoRoute,
    OncePart,
    OnceSettings,
    Organisation,
    QuarantinePart,
    QuarantineSettings,
    Refusal,
    RefusalKind,
    RefuseCall,
    RequestPart,
    RequestSettings,
    RouteNeed,
    Service,
    ServiceCalled,
    ServiceKind,
    SharedRecord,
    ShareRecord,
    Snapshot,
    Started,
    StoreAnswered,
    StoreConflict,
    StoreDelete,
    StoreGet,
    StoreItem,
    StorePut,
    StoreResult,
    StoreWritten,
    Target,
    TargetId,
    TargetKind,
    Ticket,
    Woken,
)

Wanted = TypeVar('Wanted')

ORGANISATION = Organisation('duka')
SNAPSHOT = Snapshot(
    1,
    {'duka': ORGANISATION},
    {},
    {
        'route-assistant': Service('route-assistant'),
        'ledger-desk': Service(
            'ledger-desk',
            ServiceKind.PLAIN,
            unrepeatable=('POST /returns/*', 'PUT /stock'),
        ),
    },
    {'crate-model': Model('crate-model', 'route-assistant')},
)


class Store:
    """The platform's store: one dictionary with revisions."""

    def __init__(self) -> None:
        self.items: dict[str, StoreItem] = {}
        self.revision = 0

    def perform(self, action: Action) -> StoreResult:
        if isinstance(action, StoreGet):
            return self._present(action.key)
        assert isinstance(action, StorePut | StoreDelete)
        present = self._present(action.key)
        if present.revision != action.expected_revision:
            return StoreConflict(present)
        self.revision += 1
        value = action.value if isinstance(action, StorePut) else None
        if value is None:
            self.items.pop(action.key)
        else:
            self.items[action.key] = StoreItem(action.key, self.revision, value)
        return StoreWritten(action.key, self.revision)

    def _present(self, key: str) -> StoreItem:
        return self.items.get(key, StoreItem(key, 0, None))


class Directory:
    snapshot = SNAPSHOT

    def knowledge_age_s(self, now_s: float) -> float | None:
        return 0


class Authenticator:
    def authenticate(self, bearer_key: str, now_s: float) -> Identity | Refusal:
        if bearer_key.startswith('key'):
            return Identity(ORGANISATION, f'hash of {bearer_key}')
        return Refusal(RefusalKind.UNAUTHENTICATED, 'No such key', 'Ask')


class Admitter:
    """Admits all (or what `place` says) and counts what it holds."""

    def __init__(self) -> None:
        self.place: Any = Admitted()
        self.held: set[str] = set()
        self.served: Counter[str] = Counter()

    def offer(self, ticket: Ticket, now_s: float) -> Any:
        if not isinstance(self.place, Refusal):
            self.held.add(ticket.request_id)
        return self.place

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

    def come_back_s(self, service: str, now_s: float) -> float:
        return 3


class Router:
    """Takes the first target that is not to be avoided."""

    def __init__(self, targets: tuple[Target, ...]) -> None:
        self.targets = targets
        self.running: dict[str, TargetId] = {}
        self.needs: list[RouteNeed] = []

    def choose(self, need: RouteNeed, now_s: float) -> Target | NoRoute:
        self.needs.append(need)
        for target in self.targets:
            free = target.target_id not in need.avoid
            if free and target.service == need.service:
                return target
        return NoRoute('all are avoided', 2)

    def find(self, target_id: TargetId) -> Target | None:
        return next((t for t in self.targets if t.target_id == target_id), None)

    def dispatched(
        self,
        attempt_id: str,
        target_id: TargetId,
        need: RouteNeed,
        now_s: float,
    ) -> None:
        self.running[attempt_id] = target_id

    def progressed(self, attempt_id: str, tokens: int, now_s: float) -> None:
        assert attempt_id in self.running

    def ended(
        self, attempt_id: str, now_s: float, failed: bool = False
    ) -> None:
        self.running.pop(attempt_id)


def engine(name: str) -> Target:
    return Target(TargetId(name), 'route-assistant', 'ubungo', f'{name}:80')


def desk(name: str) -> Target:
    return Target(
        TargetId(name), 'ledger-desk', 'ubungo', f'{name}:80', TargetKind.PLAIN
    )


TARGETS = (*map(engine, 'abcd'), *map(desk, 'xyz'))


class Gossip:
    """Stands for membership: keeps what an entry shares."""

    handles = (ShareRecord,)

    def __init__(self) -> None:
        self.shared: list[SharedRecord] = []

    def handle(self, event: Event, now_s: float) -> list[Any]:
        assert isinstance(event, ShareRecord)
        self.shared.append(event.record)
        return []

    def next_wakeup_s(self) -> float | None:
        return None


class Usage:
    """Stands for usage: adds up what was told to have been delivered."""

    handles = (CallDelivered,)

    def __init__(self) -> None:
        self.requests = 0
        self.prompt_tokens = 0
        self.output_tokens = 0

    def handle(self, event: Event, now_s: float) -> list[Any]:
        assert isinstance(event, CallDelivered)
        self.requests += event.requests
        self.prompt_tokens += event.prompt_tokens
        self.output_tokens += event.output_tokens
        return []

    def next_wakeup_s(self) -> float | None:
        return None


class Entry:
    """The parts of one entry that answer calls, in virtual time."""

    def __init__(
        self,
        name: str = 'entry-1',
        settings: RequestSettings = RequestSettings(),
        once: OnceSettings = OnceSettings(),
        quarantine: QuarantineSettings = QuarantineSettings(),
        seed: int = 1,
        started_wall_s: float = 1_000_000.0,
    ) -> None:
        self.now_s = 100.0
        self.name = name
        self.admitter = Admitter()
        self.router = Router(TARGETS)
        self.once = OncePart(once, InstanceId(name), Random(f'{name}{seed}'))
        self.quarantine = QuarantinePart(quarantine)
        self.request = RequestPart(
            settings,
            Directory(),
            Authenticator(),
            self.admitter,
            self.router,
            self.once,
            self.quarantine,
            Random(seed),
        )
        self.gossip, self.usage = Gossip(), Usage()
        self.node = Composition(
            (
                self.quarantine,
                self.once,
                self.request,
                self.gossip,
                self.usage,
            )
        )
        self.said: list[Action] = []
        self.tell(Started(started_wall_s))

    def tell(self, event: Event) -> list[Action]:
        actions = self.node.handle(event, self.now_s)
        self.said += actions
        return actions

    def wait(self, duration_s: float) -> list[Action]:
        """Let time pass, with every wake-up on the way."""
        until_s = self.now_s + duration_s
        actions: list[Action] = []
        while (wakeup_s := self.node.next_wakeup_s()) is not None:
            if wakeup_s > until_s:
                break
            self.now_s = max(self.now_s, wakeup_s)
            actions += self.tell(Woken())
        self.now_s = until_s
        return actions

    def all(self, kind: type[Wanted]) -> list[Wanted]:
        return [action for action in self.said if isinstance(action, kind)]

    def last(self, kind: type[Wanted]) -> Wanted:
        return self.all(kind)[-1]

    def refusal(self, request_id: str) -> Refusal | None:
        found = [
            action.refusal
            for action in self.all(RefuseCall)
            if action.request_id == request_id
        ]
        assert len(found) < 2, found
        return found[0] if found else None


def ask(name: str = 'r1', prompt: str = 'three crates', **more: Any) -> Event:
    return ModelCalled(name, 'key-1', 'crate-model', prompt, 8, **more)


def confirm(name: str = 'r1', **more: Any) -> Event:
    given = {
        'method': 'POST',
        'path': '/returns/7',
        'idempotency_key': 'k1',
        'body': b'4 crates',
        **more,
    }
    return ServiceCalled(name, 'key-1', 'ledger-desk', **given)


def serve(entry: Entry, store: Store, actions: list[Action]) -> list[Action]:
    """Answer each store operation at once, until none is left."""
    waiting = deque(actions)
    done: list[Action] = []
    while waiting:
        action = waiting.popleft()
        done.append(action)
        if isinstance(action, StoreGet | StorePut | StoreDelete):
            result = store.perform(action)
            waiting += entry.tell(StoreAnswered(action.operation_id, result))
    return done


def schedules(deviations: int, limit: int) -> Iterator['Schedule']:
    """Go through every run that leaves the default order a few times.

    Each run asks its schedule what comes next; option 0 is the default.
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
    """The choices of one run, which can be replayed."""

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
