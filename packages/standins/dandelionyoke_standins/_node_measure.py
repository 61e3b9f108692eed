"""Cost of an idle node as a function of the fleet size.

Nodes, engines and the platform run in virtual time; the engines are idle.
For each number of nodes it prints, per node and second: messages and bytes
sent to peers, processor time in `handle`, store calls, listings and target
polls. The growth with the number of nodes matters, not the absolute figures.
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
from dandelionyoke_standins._node_simulation import NodeHandler, NodeSimulation
from dandelionyoke_standins._world_platform import NodeSimulationSettings
from dandelionyoke_standins._world_setup import (
    DeploymentPlan,
    EngineGroup,
    commit,
    deploy,
)

NODE_COUNTS = (12, 48, 96)
ENGINES_PER_NODE = 890 / 410
DOMAINS = ('a-1', 'a-2', 'a-3', 'b-1', 'b-2', 'b-3')
ORGANISATION_COUNT = 40
WARM_UP_S = 15.0
MEASURE_S = 20.0
SEED = 7
MICROSECONDS_PER_S = 1_000_000
LIST_ACTIONS = (ListTargets, ListInstances)
POLL_ACTIONS = (PollLoad, PollCacheEvents)


@attrs.define
class CostMeter:
    """Costs of all nodes together since the last reset."""

    processor_s: float = 0
    messages: int = 0
    sent_bytes: int = 0
    lists: int = 0
    polls: int = 0
    store_calls: int = 0
    bytes_by_message: Counter[str] = attrs.field(factory=Counter)

    def reset(self) -> None:
        """Set all counts to zero."""
        self.processor_s = 0
        self.messages = 0
        self.sent_bytes = 0
        self.lists = 0
        self.polls = 0
        self.store_calls = 0
        self.bytes_by_message.clear()

    def count(self, action: Action) -> None:
        """Count an action of a node."""
        if isinstance(action, SendPeer):
            size = len(cbor2.dumps(message_to_mapping(action.message)))
            self.messages += 1
            self.sent_bytes += size
            self._count_bytes(action.message, size)
        elif isinstance(action, LIST_ACTIONS):
            self.lists += 1
        elif isinstance(action, POLL_ACTIONS):
            self.polls += 1
        elif hasattr(action, 'operation_id'):
            self.store_calls += 1

    def _count_bytes(self, message: PeerMessage, size: int) -> None:
        """Count bytes by message type, and by record type within a batch."""
        if not isinstance(message, RecordBatch):
            self.bytes_by_message[type(message).__name__] += size
            return
        for entry in message.entries:
            record = dict(entry.record)
            self.bytes_by_message[str(record['type'])] += len(
                cbor2.dumps(record)
            )


class MeteredNode:
    """Wrapper that times a node's event handling and counts its actions."""

    def __init__(self, node: NodeHandler, meter: CostMeter) -> None:
        self._node = node
        self._meter = meter

    def handle(self, event: Event, now_s: float) -> list[Action]:
        """Handle one event; return the resulting actions."""
        started_s = time.process_time()
        actions = self._node.handle(event, now_s)
        self._meter.processor_s += time.process_time() - started_s
        for action in actions:
            self._meter.count(action)
        return actions

    def next_wakeup_s(self) -> float | None:
        """Return when the next `TimerFired` event is due, or None."""
        return self._node.next_wakeup_s()


def main(arguments: Sequence[str]) -> int:
    """Measure the given numbers of nodes, or the default ones."""
    node_counts = tuple(int(argument) for argument in arguments) or NODE_COUNTS
    _print('nodes engines msgs/s bytes/s cpu_us/s store/s lists/s polls/s')
    for node_count in node_counts:
        _measure(node_count)
    return 0


def _measure(node_count: int) -> None:
    meter = CostMeter()
    simulation = NodeSimulation(
        SEED, NodeSimulationSettings(engine_step_s=MEASURE_S)
    )
    group = EngineGroup(
        'assistant',
        int(node_count * ENGINES_PER_NODE),
        EngineSettings(models=('crate-lm',)),
    )
    plan = DeploymentPlan(DOMAINS, node_count, (group,))
    deploy(simulation, plan, lambda node: MeteredNode(node, meter))
    commit(simulation, _configuration())
    simulation.run(WARM_UP_S)
    meter.reset()
    simulation.run(WARM_UP_S + MEASURE_S)
    _report(node_count, group.count, meter)


def _configuration() -> list[Put]:
    names = [
        OrganisationId(f'org-{number}') for number in range(ORGANISATION_COUNT)
    ]
    return [
        *(Put(Organisation(name)) for name in names),
        *(Put(ApiKey(hash_key(name), name)) for name in names),
        Put(Service(ServiceName('assistant'))),
        Put(Model(ModelName('crate-lm'), ServiceName('assistant'))),
    ]


def _report(node_count: int, engines: int, meter: CostMeter) -> None:
    node_seconds = node_count * MEASURE_S
    _print(
        f'{node_count:5} {engines:7} {meter.messages / node_seconds:6.1f}'
        f' {meter.sent_bytes / node_seconds:7.0f}'
        f' {meter.processor_s * MICROSECONDS_PER_S / node_seconds:8.0f}'
        f' {meter.store_calls / node_seconds:7.2f}'
        f' {meter.lists / node_seconds:7.2f}'
        f' {meter.polls / node_seconds:7.2f}'
    )
    rates = ', '.join(
        f'{name} {size_bytes / node_seconds:.0f}'
        for name, size_bytes in meter.bytes_by_message.most_common()
    )
    _print(f'      bytes/s by message: {rates}')


def _print(line: str) -> None:
    sys.stdout.write(f'{line}\n')
    sys.stdout.flush()
