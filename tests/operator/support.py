"""In-memory store, platform and clock, and a harness to run commands."""

import io
import itertools
import json
from collections.abc import Callable, Iterator
from typing import Any

import attrs

from dandelionyoke_core import (
    Action,
    Domain,
    Instance,
    InstanceId,
    Presence,
    StoreConflict,
    StoreDelete,
    StoreFailed,
    StoreGet,
    StoreItem,
    StorePut,
    StoreResult,
    StoreWritten,
)
from dandelionyoke_operator._application import run
from dandelionyoke_operator._environment import Environment
from dandelionyoke_operator._errors import UnavailableError
from dandelionyoke_operator._exit_status import ExitStatus
from dandelionyoke_operator._platform import EntryStatus
from dandelionyoke_operator._repository import Repository

NOON_S = 1_796_299_200.0

CONFIGURATION = """\
[organisation duka-routes]
priority = 7

[organisation mbezi-shops]

[service route-assistant]
reclaimable_share = 0.4
unrepeatable =
    POST /confirmations

[model crate-lm]
service = route-assistant
adapters =
    swahili
"""


@attrs.define
class MemoryStore:
    """In-memory store with compare-and-swap and fault injection.

    `before_put` is called before the next write. The next `lost_answers`
    writes take effect without an answer, and the next `outage_calls` calls
    are refused. `calls` counts all calls.
    """

    content: dict[str, StoreItem] = attrs.field(factory=dict)
    revision: int = 0
    before_put: Callable[[], object] | None = None
    lost_answers: int = 0
    outage_calls: int = 0
    refuses_writes: bool = False
    calls: int = 0

    def perform(self, action: Action) -> StoreResult:
        self.calls += 1
        if self.outage_calls:
            self.outage_calls -= 1
            return StoreFailed('503', may_have_been_applied=False)
        if isinstance(action, StoreGet):
            return self._current_item(action.key)
        if self.refuses_writes:
            return StoreFailed('429', may_have_been_applied=False)
        if isinstance(action, StoreDelete):
            return self._delete(action)
        assert isinstance(action, StorePut)
        callback, self.before_put = self.before_put, None
        if callback:
            callback()
        return self._put(action)

    def _put(self, action: StorePut) -> StoreResult:
        current = self._current_item(action.key)
        if current.revision != action.expected_revision:
            return StoreConflict(current)
        self.revision += 1
        self.content[action.key] = StoreItem(
            action.key, self.revision, action.value
        )
        if self.lost_answers:
            self.lost_answers -= 1
            return StoreFailed('connection closed', may_have_been_applied=True)
        return StoreWritten(action.key, self.revision)

    def _delete(self, action: StoreDelete) -> StoreResult:
        current = self._current_item(action.key)
        if current.revision != action.expected_revision:
            return StoreConflict(current)
        self.revision += 1
        self.content.pop(action.key, None)
        return StoreWritten(action.key, self.revision)

    def _current_item(self, key: str) -> StoreItem:
        return self.content.get(key, StoreItem(key, 0, None))


@attrs.define(slots=False)
class MemoryPlatform:
    """Platform with entries that follow the store, except for faults.

    `polls_behind` maps an entry to the number of status requests that it
    answers with an old revision. Entries in `silent` do not answer.
    """

    store: MemoryStore = attrs.field(factory=MemoryStore)
    polls_behind: dict[str, int] = attrs.field(factory=dict)
    silent: set[str] = attrs.field(factory=set)
    leaving: set[str] = attrs.field(factory=set)
    listed: bool = True
    instance_names: tuple[str, ...] = ('kurasini-1', 'kurasini-2', 'ubungo-1')
    status_requests: int = 0

    def instances(self) -> tuple[Instance, ...]:
        if not self.listed:
            raise UnavailableError('no list', 'Try again')
        return tuple(
            _instance(name, name in self.leaving)
            for name in self.instance_names
        )

    def entry_status(self, instance: Instance) -> EntryStatus | None:
        self.status_requests += 1
        name = instance.instance_id
        if name in self.silent:
            return None
        remaining_polls = self.polls_behind.get(name, 0)
        if remaining_polls:
            self.polls_behind[name] = remaining_polls - 1
        return EntryStatus(
            instance.instance_id,
            instance.domain,
            revision=self._head_revision() - (1 if remaining_polls else 0),
            knowledge_age_s=0.5,
            in_progress=4,
            usable_targets=13,
            duties=('control',) if name == 'ubungo-1' else (),
        )

    def _head_revision(self) -> int:
        reader = Repository(self.store, Environment(()))
        return reader.load().snapshot.revision


def _instance(name: str, leaving: bool) -> Instance:
    return Instance(
        InstanceId(name),
        Domain(name.partition('-')[0]),
        f'{name}:80',
        f'{name}:81',
        Presence.LEAVING if leaving else Presence.LIVE,
    )


@attrs.frozen
class CommandResult:
    """Exit status and output of a run of the program."""

    status: ExitStatus
    output: str
    errors: str

    @property
    def fields(self) -> dict[str, Any]:
        return json.loads(self.output or self.errors)


@attrs.define
class OperatorConsole:
    """Harness that runs commands in the test process, in virtual time."""

    platform: MemoryPlatform = attrs.field(factory=MemoryPlatform)
    now_s: float = NOON_S
    user: str = 'amina'
    variables: dict[str, str] = attrs.field(
        factory=lambda: {'DANDELIONYOKE_PLATFORM': 'http://platform'}
    )
    connected: list[str] = attrs.field(factory=list)
    key_numbers: Iterator[int] = attrs.field(factory=lambda: itertools.count(1))
    change_numbers: Iterator[int] = attrs.field(factory=itertools.count)

    def run(self, *arguments: str, stdin: str = '') -> CommandResult:
        out, err = io.StringIO(), io.StringIO()
        status = run(
            Environment(
                arguments,
                stdin=io.StringIO(stdin),
                stdout=out,
                stderr=err,
                variables=self.variables,
                user=self.user,
                connect=self._connect,
                wall_clock_s=lambda: self.now_s,
                monotonic_s=lambda: self.now_s,
                sleep=self._sleep,
                new_key=lambda: f'dy-{next(self.key_numbers)}',
                new_change_id=lambda: f'change-{next(self.change_numbers)}',
            )
        )
        return CommandResult(status, out.getvalue(), err.getvalue())

    def apply(self, text: str, *options: str) -> CommandResult:
        return self.run('apply', '-', '--reason', 'call', *options, stdin=text)

    def _connect(self, url: str) -> MemoryPlatform:
        self.connected.append(url)
        return self.platform

    def _sleep(self, duration_s: float) -> None:
        self.now_s += duration_s
