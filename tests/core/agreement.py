"""What the tests of configuration, keys and membership share."""

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
    StoreAnswered,
    StoreLayoutSettings,
    hash_key,
)
from dandelionyoke_standins._spread_node import WorldSettings
from dandelionyoke_standins._spread_store import VirtualStore
from dandelionyoke_standins._spread_world import World

DUKA = Organisation(OrganisationId('duka'))
DUKA_KEY = ApiKey(hash_key('secret'), DUKA.organisation_id)
ADD_DUKA: tuple[Operation, ...] = (Put(DUKA), Put(DUKA_KEY))
WITHDRAW: tuple[Operation, ...] = (Remove(Section.KEY, DUKA_KEY.key_hash),)
# Small, so that changes leave the head and snapshots are cut all the time.
SMALL = StoreLayoutSettings(head_changes=2, snapshot_every_changes=2)
THREE_DOMAINS = (('a', 4), ('b', 4), ('c', 4))


def reweigh(weight: int) -> tuple[Operation, ...]:
    return (Put(Organisation(DUKA.organisation_id, weight=weight)),)


def propose(
    name: str, base: int | None, operations: Sequence[Operation] = ADD_DUKA
) -> Proposal:
    return Proposal(ChangeId(name), base, 'amina', name, 0, tuple(operations))


def drive(
    dialogue: Committer | ConfigurationLoader, store: VirtualStore
) -> None:
    calls: list[Action] = dialogue.begin()
    while calls:
        calls = step(dialogue, store, calls)


def step(
    dialogue: Committer | ConfigurationLoader,
    store: VirtualStore,
    calls: list[Action],
) -> list[Action]:
    (call,) = calls
    answer = StoreAnswered(call.operation_id, store.call(call))
    return dialogue.handle(answer, 0)


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


def make_world(
    seed: int = 1, domains: tuple[tuple[str, int], ...] = THREE_DOMAINS
) -> World:
    world = World(seed, WorldSettings(domains))
    world.run(20)
    return world


def all_at(world: World, revision: int) -> bool:
    return all(node.revision == revision for node in world.live_nodes())
