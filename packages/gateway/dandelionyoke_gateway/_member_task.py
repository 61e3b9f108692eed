"""Which other nodes there are, as far as the store knows."""

from collections.abc import Callable

from eventlet import sleep

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
from dandelionyoke_gateway._knowledge import Knowledge
from dandelionyoke_gateway._leased_records import LeasedRecords
from dandelionyoke_gateway._ports import Store

MEMBERS_PREFIX = 'members/'
# A node that is gone is counted for so long. What depends on the number of
# nodes allows for half as many again.
MEMBER_TTL_S = 15.0
POLL_INTERVAL_S = 5.0
# When all start together, the first looks find only a part of them.
INITIAL_POLL_INTERVAL_S = 1.2


class MemberTask:
    """Enters this node in the store and counts the others."""

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

    def run(self) -> None:
        """Stay entered for as long as the process lives."""
        settings = self._knowledge.settings
        key = f'{MEMBERS_PREFIX}{settings.instance_id}'
        endpoint = settings.peers
        own_member = Member(
            settings.instance_id,
            settings.domain,
            f'{endpoint.host}:{endpoint.port}',
            settings.processors * settings.processor_share,
        )
        interval_s = INITIAL_POLL_INTERVAL_S
        while True:
            self._records.keep_alive(key, record_to_json(own_member))
            self._refresh_members(own_member)
            sleep(interval_s * self._knowledge.random.uniform(0.8, 1.2))
            interval_s = min(POLL_INTERVAL_S, 2 * interval_s)

    def _refresh_members(self, own_member: Member) -> None:
        # A count may be seconds old; such a read costs a tenth of another.
        answer = self._store.perform(
            StoreList(OperationId('members'), MEMBERS_PREFIX, may_be_old=True)
        )
        if not isinstance(answer, StoreListing):
            return
        members = {
            member.instance_id: member
            for item in answer.items
            if (member := _read_member(item)) is not None
        }
        members[own_member.instance_id] = own_member
        self._knowledge.take_node_count(len(members))
        self._knowledge.sources.take_members(members.values())
        self._on_members(tuple(sorted(members)))


def _read_member(item: StoreItem) -> Member | None:
    """Read a node's entry; None for one of another form."""
    try:
        return record_from_json(item.value or '', Member)
    except CodecError:
        # Another version's entry: it is neither asked nor counted.
        return None
