"""Propagation times of changes among many nodes, and their cost.

Run as `python -m dandelionyoke_standins._spread [nodes ...]`. All figures are
in virtual time and determined by the seeds, except for the core shares, which
are this thread's processor time in the node and in the codec.
"""

import random as random_module
import sys
from collections.abc import Callable, Iterable, Sequence
from functools import partial

import attrs

from dandelionyoke_core import (
    ApiKey,
    ChangeId,
    CommitOutcome,
    Committed,
    Committer,
    InstanceId,
    Model,
    ModelName,
    Operation,
    Organisation,
    OrganisationId,
    Proposal,
    Put,
    ReplicateRecord,
    Service,
    ServiceName,
    SharedRecord,
    StoreResponded,
    hash_key,
)
from dandelionyoke_standins._spread_node import PropagationSettings, VirtualNode
from dandelionyoke_standins._spread_store import VirtualStore
from dandelionyoke_standins._spread_world import PropagationSimulation

NODE_COUNTS = (8, 64, 410)
CHANGES_PER_DAY = 5200
DAY_S = 86_400.0
ORGANISATION_COUNT = 720
KEYS_PER_ORGANISATION = 2
MODEL_COUNT = 13
WARM_UP_S = 40.0
STEADY_DURATION_S = 120.0
PAUSE_S = 20.0
LONG_PARTITION_S = 3600.0
# With more nodes, simulating an hour of heartbeats takes most of an hour.
MAX_LONG_PARTITION_NODES = 64
SHORT_PARTITION_S = 300.0
PLATFORM = 'platform'

ReportLine = Callable[[str], object]


@attrs.frozen
class SpreadSettings:
    """Numbers of nodes to measure, and of repetitions."""

    node_counts: tuple[int, ...] = NODE_COUNTS
    changes: int = 30
    faults: int = 5
    seeds: tuple[int, ...] = (1, 2, 3)


def distribute_nodes(nodes: int) -> tuple[tuple[str, int], ...]:
    """Distribute nodes to domains: three below 16 nodes, otherwise six.

    Below 16 nodes it is the current deployment.
    """
    names = (
        ('n1', 'n2', 's1')
        if nodes < 16
        else ('n1', 'n2', 'n3', 's1', 's2', 's3')
    )
    per_domain, remainder = divmod(nodes, len(names))
    return tuple(
        (name, per_domain + (index < remainder))
        for index, name in enumerate(names)
    )


def commit(store: VirtualStore, operations: Iterable[Operation]) -> None:
    """Commit a change as the operator's command does, without delay."""
    committer = Committer(
        Proposal(
            change_id=ChangeId(f'change-{store.revision}'),
            base_revision=None,
            author='operator@example.org',
            reason='a key for the night shift',
            committed_wall_s=0,
            operations=tuple(operations),
        )
    )
    calls = committer.begin()
    while calls:
        call = calls[0]
        if not hasattr(call, 'operation_id'):
            break
        answer = StoreResponded(call.operation_id, store.perform(call))
        calls = committer.handle(answer, 0)
    outcome: CommitOutcome | None = committer.outcome
    if not isinstance(outcome, Committed):
        raise RuntimeError(f'not committed: {outcome}')


def full_size_configuration() -> tuple[Operation, ...]:
    """Make a configuration of the largest size that the system is built for."""
    operations: list[Operation] = [Put(Service(ServiceName('chat')))]
    operations.extend(
        Put(Model(ModelName(f'model-{number}'), ServiceName('chat')))
        for number in range(MODEL_COUNT)
    )
    for number in range(ORGANISATION_COUNT):
        organisation_id = OrganisationId(f'organisation-{number}')
        operations.append(Put(Organisation(organisation_id)))
        operations.extend(
            Put(ApiKey(hash_key(f'{number}/{key}'), organisation_id, 'issued'))
            for key in range(KEYS_PER_ORGANISATION)
        )
    return tuple(operations)


def issue_key(number: int) -> tuple[Operation, ...]:
    """Return the change that issues one key."""
    owner = OrganisationId(f'organisation-{number % ORGANISATION_COUNT}')
    return (Put(ApiKey(hash_key(f'new {number}'), owner, 'night shift')),)


class SpreadRun:
    """One simulation with a number of nodes and a seed, and its measures."""

    def __init__(self, nodes: int, seed: int, settings: SpreadSettings) -> None:
        self._settings = settings
        self._random = random_module.Random(seed)
        self._simulation = PropagationSimulation(
            seed, PropagationSettings(distribute_nodes(nodes))
        )
        self._change_number = 0
        commit(self._simulation.store, full_size_configuration())
        for _ in range(2):
            self._commit()
        self._simulation.run(WARM_UP_S)

    def measure_steady_cost(self) -> dict[str, float]:
        """Measure the cost at `CHANGES_PER_DAY`."""
        simulation = self._simulation
        nodes = simulation.live_nodes()
        _reset_counters(simulation)
        started_s = simulation.now_s
        ages: list[float] = []
        while simulation.now_s - started_s < STEADY_DURATION_S:
            pause_s = self._random.expovariate(CHANGES_PER_DAY / DAY_S)
            simulation.run(min(pause_s, STEADY_DURATION_S))
            self._commit()
            ages.extend(_knowledge_ages(simulation))
        node_seconds = len(nodes) * (simulation.now_s - started_s)
        return {
            'messages_per_node_s': sum(
                live_node.sent.total() for live_node in nodes
            )
            / node_seconds,
            'sent_bytes_per_node_s': (
                sum(live_node.sent_bytes.total() for live_node in nodes)
                / node_seconds
            ),
            'handling_core_share': sum(
                live_node.handling_time_s for live_node in nodes
            )
            / node_seconds,
            'coding_core_share': sum(
                live_node.codec_time_s for live_node in nodes
            )
            / node_seconds,
            'store_calls_per_s': (
                simulation.store.calls.total() / (simulation.now_s - started_s)
            ),
            'age_p50_s': _quantile(ages, 0.5),
            'age_max_s': max(ages),
            'links_max': max(
                len(live_node.membership.linked) for live_node in nodes
            ),
        }

    def activation_times(self) -> list[float]:
        """Return the times until changes are in force on each node."""
        times: list[float] = []
        for _ in range(self._settings.changes):
            times.extend(self._time_one_change())
            self._simulation.run(self._random.uniform(0, 4))
        return times

    def activation_times_under_faults(self) -> list[float]:
        """Return these times under faults.

        During each change, one node is paused, one is killed, and one domain
        cannot reach the platform.
        """
        simulation = self._simulation
        times: list[float] = []
        for number in range(self._settings.faults):
            first, second = self._random.sample(simulation.live_nodes(), 2)
            domain = self._random.choice(
                simulation.live_nodes()
            ).instance.domain
            simulation.pause(first, PAUSE_S)
            simulation.kill(second)
            simulation.partition(domain, PLATFORM)
            simulation.run(self._random.uniform(0, 5))
            times.extend(self._time_one_change())
            simulation.end_partitions()
            simulation.start(f'new-{number}', second.instance.domain)
            simulation.run(WARM_UP_S)
        return times

    def activation_times_after_outage(self) -> list[float]:
        """Return these times for a change right after a store outage."""
        simulation = self._simulation
        simulation.store.is_unavailable = True
        simulation.run(60)
        simulation.store.is_unavailable = False
        return self._time_one_change()

    def detection_times(self) -> list[float]:
        """Return the times until no node lists a killed instance as live."""
        simulation = self._simulation
        times: list[float] = []
        for number in range(self._settings.faults):
            killed = self._random.choice(simulation.live_nodes())
            simulation.kill(killed)
            is_detected = partial(
                _is_detected_by_all, simulation, killed.instance.instance_id
            )
            times.append(simulation.run_until(is_detected, 60))
            simulation.start(f'again-{number}', killed.instance.domain)
            simulation.run(WARM_UP_S)
        return times

    def measure_pauses(self) -> dict[str, float]:
        """Pause one instance at a time for 20 s.

        Measures how long it takes until all nodes list each other as live
        again, and how often nodes dropped an instance other than the paused
        one.
        """
        simulation = self._simulation
        return_times: list[float] = []
        false_drops = 0
        for _ in range(self._settings.faults):
            node = self._random.choice(simulation.live_nodes())
            instance_id = node.instance.instance_id
            node_count = len(simulation.live_nodes())
            _reset_counters(simulation)
            simulation.pause(node, PAUSE_S)
            simulation.run(PAUSE_S)
            return_times.append(
                simulation.run_until(partial(_all_see_all, simulation), 60)
            )
            false_drops += _count_false_drops(
                simulation, instance_id, node_count
            )
            simulation.run(WARM_UP_S)
        return {
            'return_max_s': max(return_times),
            'others_dropped': false_drops,
        }

    def measure_region_partition(self, cut_s: float) -> dict[str, float]:
        """Partition the two regions and measure the recovery."""
        simulation = self._simulation
        domains = {node.instance.domain for node in simulation.live_nodes()}
        for north in domains:
            for south in domains:
                if north.startswith('n') and south.startswith('s'):
                    simulation.partition(north, south)
        simulation.run(cut_s)
        largest_view = max(
            len(live_node.membership.live)
            for live_node in simulation.live_nodes()
        )
        _reset_counters(simulation)
        simulation.end_partitions()
        took_s = simulation.run_until(lambda: _all_see_all(simulation), 300)
        nodes = simulation.live_nodes()
        sent = [node.sent_bytes.total() for node in nodes]
        return {
            'cut_s': cut_s,
            'live_in_larger_half': largest_view,
            'recovered_s': took_s,
            'bytes_per_node': sum(sent) / len(sent),
            'bytes_max': max(sent),
        }

    def measure_record_cost(self, everywhere: bool) -> dict[str, float]:
        """Share one record and measure the messages and bytes per node."""
        simulation = self._simulation
        simulation.run(1)
        _reset_counters(simulation)
        record = SharedRecord(f'probe/{everywhere}', 1, lifetime_s=60)
        sender = simulation.live_nodes()[0]
        simulation.deliver(sender, ReplicateRecord(record, everywhere))
        simulation.run(0.5)
        domain = sender.instance.domain
        reached = [
            node
            for node in simulation.live_nodes()
            if everywhere or node.instance.domain == domain
        ]
        kind = 'RecordBatch'
        return {
            'sends_per_node': sum(live_node.sent[kind] for live_node in reached)
            / len(reached),
            'bytes_per_node': (
                sum(live_node.sent_bytes[kind] for live_node in reached)
                / len(reached)
            ),
        }

    def _commit(self) -> None:
        self._change_number += 1
        commit(self._simulation.store, issue_key(self._change_number))

    def _time_one_change(self) -> list[float]:
        simulation = self._simulation
        self._commit()
        started_s = simulation.now_s
        revision = max(node.revision for node in simulation.live_nodes()) + 1
        pending = {
            node.instance.instance_id: node
            for node in simulation.live_nodes()
            if not node.is_paused
        }
        simulation.run_until(
            lambda: _all_have_revision(pending.values(), revision), 120
        )
        return [
            _activation_time_s(node, revision) - started_s
            for node in pending.values()
        ]


def measure_spread(settings: SpreadSettings, report: ReportLine) -> None:
    """Measure all numbers of nodes; report one line per group of figures."""
    for nodes in settings.node_counts:
        _measure_node_count(nodes, settings, report)


def _measure_node_count(
    nodes: int, settings: SpreadSettings, report: ReportLine
) -> None:
    in_force: list[float] = []
    under_faults: list[float] = []
    after_outage: list[float] = []
    detection_times: list[float] = []
    for seed in settings.seeds:
        run = SpreadRun(nodes, seed, settings)
        in_force.extend(run.activation_times())
        under_faults.extend(run.activation_times_under_faults())
        after_outage.extend(run.activation_times_after_outage())
        detection_times.extend(run.detection_times())
    run = SpreadRun(nodes, 0, settings)
    cut_s = (
        LONG_PARTITION_S
        if nodes <= MAX_LONG_PARTITION_NODES
        else SHORT_PARTITION_S
    )
    for name, figures in (
        ('steady', run.measure_steady_cost()),
        ('in force', _distribution(in_force)),
        ('in force under faults', _distribution(under_faults)),
        ('in force after an outage', _distribution(after_outage)),
        ('dead instance missed', _distribution(detection_times)),
        ('record everywhere', run.measure_record_cost(everywhere=True)),
        ('record in domain', run.measure_record_cost(everywhere=False)),
        ('paused for 20 s', run.measure_pauses()),
        ('regions apart', run.measure_region_partition(cut_s)),
    ):
        formatted = ' '.join(
            f'{key}={amount:.4g}' for key, amount in figures.items()
        )
        report(f'{nodes} nodes, {name}: {formatted}')


def _reset_counters(simulation: PropagationSimulation) -> None:
    simulation.store.calls.clear()
    for node in simulation.nodes.values():
        node.sent.clear()
        node.sent_bytes.clear()
        node.handling_time_s = 0
        node.codec_time_s = 0
        node.recorder.peers.clear()


def _knowledge_ages(simulation: PropagationSimulation) -> list[float]:
    ages = (
        node.configuration.knowledge_age_s(simulation.now_s)
        for node in simulation.live_nodes()
    )
    return [age_s for age_s in ages if age_s is not None]


def _all_have_revision(nodes: Iterable[VirtualNode], revision: int) -> bool:
    return all(node.revision >= revision for node in nodes)


def _activation_time_s(node: VirtualNode, revision: int) -> float:
    return next(
        (
            at_s
            for at_s, active_revision in node.recorder.in_force
            if active_revision >= revision
        ),
        float('inf'),
    )


def _is_detected_by_all(
    simulation: PropagationSimulation, instance_id: InstanceId
) -> bool:
    return all(
        instance_id not in node.membership.live
        for node in simulation.live_nodes()
    )


def _all_see_all(simulation: PropagationSimulation) -> bool:
    nodes = simulation.live_nodes()
    return all(len(node.membership.live) == len(nodes) for node in nodes)


def _count_false_drops(
    simulation: PropagationSimulation, paused_id: str, node_count: int
) -> int:
    """Count how often nodes dropped an instance other than the paused one."""
    return sum(
        1
        for node in simulation.live_nodes()
        for _, known in node.recorder.peers
        if len(known.live) < node_count - (paused_id not in known.live)
    )


def _distribution(times: Sequence[float]) -> dict[str, float]:
    return {
        'count': len(times),
        'p50_s': _quantile(times, 0.5),
        'p99_s': _quantile(times, 0.99),
        'max_s': max(times),
    }


def _quantile(numbers: Sequence[float], share: float) -> float:
    ordered = sorted(numbers)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def main(arguments: Sequence[str]) -> None:
    """Measure the given numbers of nodes, or the default ones."""
    node_counts = tuple(int(argument) for argument in arguments) or NODE_COUNTS
    measure_spread(
        SpreadSettings(node_counts=node_counts),
        lambda line: sys.stdout.write(f'{line}\n') and sys.stdout.flush(),
    )


if __name__ == '__main__':
    main(sys.argv[1:])
