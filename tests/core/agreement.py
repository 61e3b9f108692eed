"""Helpers shared by the tests of configuration and membership."""

from collections.abc import Sequence

from dandelionyoke_core import (
    Action,
    ApiKey,
    Change,
    ChangeId,
    CommitOutcome,
    Committer,
    ConfigurationLoader,
    Loaded,
    Operation,
    Organisation,
    OrganisationId,
    Proposal,
    Put,
    Remove,
    Section,
    StoreLayoutSettings,
    StoreResponded,
    hash_key,
)
from dandelionyoke_standins._spread_node import PropagationSettings
from dandelionyoke_standins._spread_store import VirtualStore
from dandelionyoke_standins._spread_world import PropagationSimulation

DUKA = Organisation(OrganisationId('duka'))
DUKA_KEY = ApiKey(hash_key('secret'), DUKA.organisation_id)
ADD_DUKA: tuple[Operation, ...] = (Put(DUKA), Put(DUKA_KEY))
WITHDRAW: tuple[Operation, ...] = (Remove(Section.KEY, DUKA_KEY.key_hash),)
# Small limits, so that changes often leave the head record and snapshots are
# written often.
SMALL = StoreLayoutSettings(head_changes=2, snapshot_every_changes=2)
THREE_DOMAINS = (('a', 4), ('b', 4), ('c', 4))


def reweigh(weight: int) -> tuple[Operation, ...]:
    return (Put(Organisation(DUKA.organisation_id, weight=weight)),)


def propose(
    name: str, base: int | None, operations: Sequence[Operation] = ADD_DUKA
) -> Proposal:
    return Proposal(ChangeId(name), base, 'amina', name, 0, tuple(operations))


def drive(
    state_machine: Committer | ConfigurationLoader, store: VirtualStore
) -> None:
    actions: list[Action] = state_machine.begin()
    while actions:
        actions = step(state_machine, store, actions)


def step(
    state_machine: Committer | ConfigurationLoader,
    store: VirtualStore,
    actions: list[Action],
) -> list[Action]:
    (action,) = actions
    answer = StoreResponded(action.operation_id, store.perform(action))
    return state_machine.handle(answer, 0)


def commit(
    store: VirtualStore,
    name: str,
    operations: Sequence[Operation] = ADD_DUKA,
    base: int | None = None,
    settings: StoreLayoutSettings | None = None,
) -> CommitOutcome | None:
    committer = Committer(propose(name, base, operations), settings)
    drive(committer, store)
    return committer.outcome


def history(
    store: VirtualStore, settings: StoreLayoutSettings | None = None
) -> tuple[Change, ...]:
    loader = ConfigurationLoader(1, settings)
    drive(loader, store)
    assert isinstance(loader.outcome, Loaded), loader.outcome
    return loader.changes


def make_simulation(
    seed: int = 1, domains: tuple[tuple[str, int], ...] = THREE_DOMAINS
) -> PropagationSimulation:
    simulation = PropagationSimulation(seed, PropagationSettings(domains))
    simulation.run(20)
    return simulation


def all_at(simulation: PropagationSimulation, revision: int) -> bool:
    return all(node.revision == revision for node in simulation.live_nodes())
