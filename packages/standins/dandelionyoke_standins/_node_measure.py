"""What a whole node costs while nothing happens, by the fleet's size.

Nodes, engines and the platform run in virtual time; the engines are idle.
Printed for each size, for a node and a second: messages and bytes that it
sends to peers, processor time in `handle`, calls at the store, the lists and
the targets. The slope against the size is what counts.
"""

import sys
import time
from collections import Counter
from collections.abc import Sequence

import attrs
import cbor2

from dandelionyoke_core import (
    Action,
    ApiKey,
    Event,
    ListInstances,
    ListTargets,
    Model,
    ModelName,
    Organisation,
    OrganisationId,
    PeerMessage,
    PollCacheEvents,
    PollLoad,
    Put,
    RecordBatch,
    SendPeer,
    Service,
    ServiceName,
    hash_key,
    message_to_mapping,
)
from dandelionyoke_standins._engine import EngineSettings
from dandelionyoke_standins._world import Handler, World
from dandelionyoke_standins._world_platform import WorldSettings
from dandelionyoke_standins._world_setup import (
    DeploymentPlan,
    EngineGroup,
    commit,
    deploy,
)

SIZES = (12, 48, 96)
ENGINES_A_NODE = 890 / 410
DOMAINS = ('a-1', 'a-2', 'a-3', 'b-1', 'b-2', 'b-3')
ORGANISATIONS = 40
SETTLE_S = 15.0
MEASURE_S = 20.0
SEED = 7
MICROSECONDS = 1_000_000
LISTS = (ListTargets, ListInstances)
POLLS = (PollLoad, PollCacheEvents)


@attrs.define
class Meter:
    """What all nodes together did since it was reset."""

    processor_s: float = 0
    messages: int = 0
    sent_bytes: int = 0
    lists: int = 0
    polls: int = 0
    store_calls: int = 0
    by_message: Counter[str] = attrs.field(factory=Counter)

    def reset(self) -> None:
        """Forget all."""
        self.processor_s = 0
        self.messages = 0
        self.sent_bytes = 0
        self.lists = 0
        self.polls = 0
        self.store_calls = 0
        self.by_message.clear()

    def count(self, action: Action) -> None:
        """Count one action."""
        if isinstance(action, SendPeer):
            size = len(cbor2.dumps(message_to_mapping(action.message)))
            self.messages += 1
            self.sent_bytes += size
            self._count_kinds(action.message, size)
        elif isinstance(action, LISTS):
            self.lists += 1
        elif isinstance(action, POLLS):
            self.polls += 1
        elif hasattr(action, 'operation_id'):
            self.store_calls += 1

    def _count_kinds(self, message: PeerMessage, size: int) -> None:
        """Divide a batch's bytes among the kinds of its records."""
        if not isinstance(message, RecordBatch):
            self.by_message[type(message).__name__] += size
            return
        for entry in message.entries:
            record = dict(entry.record)
            self.by_message[str(record['type'])] += len(cbor2.dumps(record))


class MeteredNode:
    """A node whose handling is timed and whose actions are counted."""

    def __init__(self, node: Handler, meter: Meter) -> None:
        self._node = node
        self._meter = meter

    def handle(self, event: Event, now_s: float) -> list[Action]:
        """Take one event; return the actions that follow."""
        began_s = time.process_time()
        actions = self._node.handle(event, now_s)
        self._meter.processor_s += time.process_time() - began_s
        for action in actions:
            self._meter.count(action)
        return actions

    def next_wakeup_s(self) -> float | None:
        """Tell when the next `Woken` is due, or None."""
        return self._node.next_wakeup_s()


def main(arguments: Sequence[str]) -> int:
    """Measure the sizes that are given, or all."""
    sizes = tuple(int(argument) for argument in arguments) or SIZES
    _print('nodes engines msgs/s bytes/s cpu_us/s store/s lists/s polls/s')
    for size in sizes:
        _measure(size)
    return 0


def _measure(size: int) -> None:
    meter = Meter()
    world = World(SEED, WorldSettings(engine_step_s=MEASURE_S))
    group = EngineGroup(
        'assistant',
        int(size * ENGINES_A_NODE),
        EngineSettings(models=('crate-lm',)),
    )
    plan = DeploymentPlan(DOMAINS, size, (group,))
    deploy(world, plan, lambda node: MeteredNode(node, meter))
    commit(world, _operations())
    world.run(SETTLE_S)
    meter.reset()
    world.run(SETTLE_S + MEASURE_S)
    _report(size, group.count, meter)


def _operations() -> list[Put]:
    names = [OrganisationId(f'org-{one}') for one in range(ORGANISATIONS)]
    return [
        *(Put(Organisation(name)) for name in names),
        *(Put(ApiKey(hash_key(name), name)) for name in names),
        Put(Service(ServiceName('assistant'))),
        Put(Model(ModelName('crate-lm'), ServiceName('assistant'))),
    ]


def _report(size: int, engines: int, meter: Meter) -> None:
    per = size * MEASURE_S
    _print(
        f'{size:5} {engines:7} {meter.messages / per:6.1f}'
        f' {meter.sent_bytes / per:7.0f}'
        f' {meter.processor_s * MICROSECONDS / per:8.0f}'
        f' {meter.store_calls / per:7.2f} {meter.lists / per:7.2f}'
        f' {meter.polls / per:7.2f}'
    )
    shares = ', '.join(
        f'{name} {size_bytes / per:.0f}'
        for name, size_bytes in meter.by_message.most_common()
    )
    _print(f'      bytes/s by message: {shares}')


def _print(line: str) -> None:
    sys.stdout.write(f'{line}\n')
    sys.stdout.flush()
