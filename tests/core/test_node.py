"""Tests of complete nodes in a deterministic simulation with virtual time."""

import testtools

from dandelionyoke_core import (
    ApiKey,
    CompletionRequested,
    Model,
    Node,
    Organisation,
    Put,
    RequestId,
    SendEngineOrder,
    SendTargetOrder,
    Service,
    ServiceCallRequested,
    ServiceKind,
    ShutdownForced,
    ShutdownRequested,
    StopProcess,
    hash_key,
)
from dandelionyoke_standins import (
    DeploymentPlan,
    EngineGroup,
    EngineSettings,
    NodeSimulation,
    answer_text,
    commit,
    deploy,
)

KEY = 'a key of the depot'
OPERATIONS = (
    Put(Organisation('depot')),
    Put(ApiKey(hash_key(KEY), 'depot')),
    Put(Service('assistant')),
    Put(Service('ledger', ServiceKind.PLAIN, unrepeatable=('POST /confirm',))),
    Put(Model('crate-lm', 'assistant')),
)
ENGINES = EngineGroup('assistant', 6, EngineSettings(models=('crate-lm',)))


def run_nodes(seed: int, entries: int) -> NodeSimulation:
    """Simulate a fleet in which each entry receives one call of each kind."""
    simulation = NodeSimulation(seed)
    plan = DeploymentPlan(
        entries=entries, engines=(ENGINES,), plain_services=('ledger',)
    )
    names = deploy(simulation, plan)
    commit(simulation, OPERATIONS)
    simulation.run(8)
    for name in names:
        simulation.deliver(
            name,
            CompletionRequested(
                RequestId(f'{name}-model'), KEY, 'crate-lm', prompt(name), 64
            ),
        )
        simulation.deliver(
            name,
            ServiceCallRequested(
                RequestId(f'{name}-plain'),
                KEY,
                'ledger',
                'POST',
                '/confirm',
                idempotency_key=f'empties of {name}',
            ),
        )
    simulation.run(20)
    return simulation


def append_node(nodes: list[Node], node: Node) -> Node:
    """Append a node that is added to a simulation to a list, and return it."""
    nodes.append(node)
    return node


def prompt(name: str) -> str:
    """Return a prompt that is unique to a call."""
    return f'{name}: answer 20 tokens'


class NodeTest(testtools.TestCase):
    def test_fifty_nodes_answer_and_replay_with_the_same_seed(self) -> None:
        simulations = [run_nodes(seed=11, entries=50) for _ in range(2)]
        for request_id, call in simulations[0].calls.items():
            if request_id.endswith('-plain'):
                assert call.answered is not None, call
                self.assertEqual(b'{"runs": 1}', call.answered.body)
            else:
                expected = answer_text(prompt(request_id[:-6]), 64)
                self.assertEqual(expected, ''.join(call.tokens))
        self.assertEqual(
            simulations[0].trace_digest, simulations[1].trace_digest
        )

    def test_entries_started_together_discover_each_other(self) -> None:
        """All entries start together and are not yet in the platform's list.

        Without early re-reads of the list each would stay isolated for half
        a minute, and the withdrawal of a key would not spread.
        """
        simulation = NodeSimulation(seed=3)
        nodes: list[Node] = []
        deploy(
            simulation,
            DeploymentPlan(entries=12),
            lambda node: append_node(nodes, node),
        )
        simulation.run(6)
        self.assertEqual({12}, {len(node.membership.live) for node in nodes})

    def test_idle_targets_are_drained_and_removed(self) -> None:
        """No call arrives for minutes, and each engine costs money.

        The domains must remove engines, each drained first and under the
        fencing token of its own domain, but keep enough of them to answer
        the next call.
        """
        simulation = NodeSimulation(seed=5)
        simulation.recorded_types = (SendEngineOrder, SendTargetOrder)
        names = deploy(
            simulation, DeploymentPlan(entries=6, engines=(ENGINES,))
        )
        commit(simulation, OPERATIONS)
        simulation.run(160)
        orders = [
            received.order for received in simulation.platform.record.orders
        ]
        self.assertEqual(3, len({order.domain for order in orders}))
        for order in orders:
            (removed,) = order.target_ids
            engine = simulation.engines[f'engine://{removed}'].model
            kinds = [entry.order.kind for entry in engine.record.orders]
            self.assertEqual(['drain'], kinds)
        simulation.deliver(
            names[0],
            CompletionRequested(
                RequestId('late'), KEY, 'crate-lm', prompt('x'), 64
            ),
        )
        simulation.run(170)
        expected = answer_text(prompt('x'), 64)
        self.assertEqual(expected, ''.join(simulation.calls['late'].tokens))

    def test_a_second_signal_reports_an_unclean_stop(self) -> None:
        """A process is signalled twice while an answer is streamed.

        It must not report a clean stop, since the second signal interrupts
        the answer.
        """
        simulation = NodeSimulation(seed=6)
        simulation.recorded_types = (StopProcess,)
        names = deploy(
            simulation, DeploymentPlan(entries=2, engines=(ENGINES,))
        )
        commit(simulation, OPERATIONS)
        simulation.run(8)
        call = CompletionRequested(
            RequestId('r'), KEY, 'crate-lm', prompt('y'), 64
        )
        simulation.deliver(names[0], call)
        simulation.run(8.2)
        simulation.deliver(names[0], ShutdownRequested())
        simulation.deliver(names[0], ShutdownForced())
        self.assertEqual(
            [StopProcess(clean=False)],
            [entry[2] for entry in simulation.recorded_actions],
        )

    def test_different_seeds_give_different_runs(self) -> None:
        traces = {run_nodes(seed, entries=4).trace_digest for seed in (1, 2)}
        self.assertEqual(2, len(traces))
