"""Registers this node in the store and lists the other nodes."""

from collections.abc import Callable

from dandelionyoke_core import (
    CodecError,
    OperationId,
    StoreItem,
    StoreList,
    StoreListing,
    record_from_json,
    record_to_json,
)
from dandelionyoke_dispatch import Member
from dandelionyoke_gateway._change_signal import ChangeSignal
from dandelionyoke_gateway._clock import clock_s
from dandelionyoke_gateway._knowledge import Knowledge
from dandelionyoke_gateway._leased_records import LeasedRecords
from dandelionyoke_gateway._ports import Store

MEMBERS_PREFIX = 'members/'
# A node that is gone is still counted for this long.
MEMBER_TTL_S = 15.0
POLL_INTERVAL_S = 5.0
# If all nodes start together, the first polls find only some of them.
INITIAL_POLL_INTERVAL_S = 1.2
# All nodes have registered again this long after the store came back from a
# copy that lacks them. Fewer nodes would share a larger part of each limit.
RETURN_GRACE_S = 2.5


class MemberTask:
    """Registers this node in the store and refreshes the list of nodes."""

    def __init__(
        self,
        knowledge: Knowledge,
        store: Store,
        on_members: Callable[[tuple[str, ...]], None],
    ) -> None:
        self._knowledge = knowledge
        self._store = store
        self._on_members = on_members
        self._records = LeasedRecords(store, MEMBER_TTL_S, renews=True)
        self._returned = ChangeSignal()
        # While one of its own calls learns of the return, the task is not
        # waiting for the signal.
        self._must_register = False
        self._listable_s = 0.0

    def run(self) -> None:
        """Stay registered until the process exits."""
        own_member = self._knowledge.own_member
        key = f'{MEMBERS_PREFIX}{own_member.instance_id}'
        interval_s = INITIAL_POLL_INTERVAL_S
        while True:
            self._records.keep_alive(key, record_to_json(own_member))
            self._refresh_members(own_member)
            if not self._must_register:
                factor = self._knowledge.random.uniform(0.8, 1.2)
                self._returned.wait(interval_s * factor)
            self._must_register = False
            interval_s = min(POLL_INTERVAL_S, 2 * interval_s)

    def store_replaced(self) -> None:
        """Register again, and list the others when they have done so."""
        self._records.forget_lease()
        self._must_register = True
        self._listable_s = clock_s() + RETURN_GRACE_S
        self._returned.notify()

    def _refresh_members(self, own_member: Member) -> None:
        # The list may be seconds old; a stale read costs a tenth of a
        # consistent one.
        answer = self._store.perform(
            StoreList(OperationId('members'), MEMBERS_PREFIX, allow_stale=True)
        )
        if not isinstance(answer, StoreListing):
            return
        if clock_s() < self._listable_s:
            return
        members = {
            member.instance_id: member
            for item in answer.items
            if (member := _read_member(item)) is not None
        }
        members[own_member.instance_id] = own_member
        self._knowledge.take_node_count(len(members))
        self._knowledge.sources.take_members(members.values(), clock_s())
        self._on_members(tuple(sorted(members)))


def _read_member(item: StoreItem) -> Member | None:
    """Parse a node's entry; None if its format is unknown."""
    try:
        return record_from_json(item.value or '', Member)
    except CodecError:
        # Written by another version: the node gets no requests and is not
        # counted.
        return None
