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
INTERVAL_S = 5.0
# When all start together, the first looks find only a part of them.
FIRST_INTERVAL_S = 1.2


class MemberTask:
    """Enters this node in the store and counts the others."""

    def __init__(
        self,
        knowledge: Knowledge,
        store: Store,
        tell: Callable[[tuple[str, ...]], None],
    ) -> None:
        self._knowledge = knowledge
        self._store = store
        self._tell = tell
        self._records = LeasedRecords(store, MEMBER_TTL_S, renews=True)

    def run(self) -> None:
        """Stay entered for as long as the process lives."""
        settings = self._knowledge.settings
        key = f'{MEMBERS_PREFIX}{settings.instance_id}'
        endpoint = settings.peers
        own = Member(
            settings.instance_id,
            settings.domain,
            f'{endpoint.host}:{endpoint.port}',
            settings.processors * settings.processor_share,
        )
        pause_s = FIRST_INTERVAL_S
        while True:
            self._records.keep(key, record_to_json(own))
            self._count(own)
            sleep(pause_s * self._knowledge.random.uniform(0.8, 1.2))
            pause_s = min(INTERVAL_S, 2 * pause_s)

    def _count(self, own: Member) -> None:
        # A count may be seconds old; such a read costs a tenth of another.
        answer = self._store.perform(
            StoreList(OperationId('members'), MEMBERS_PREFIX, may_be_old=True)
        )
        if not isinstance(answer, StoreListing):
            return
        found = {
            member.instance_id: member
            for item in answer.items
            if (member := _read_member(item)) is not None
        }
        found[own.instance_id] = own
        self._knowledge.take_node_count(len(found))
        self._knowledge.sources.take_members(found.values())
        self._tell(tuple(sorted(found)))


def _read_member(item: StoreItem) -> Member | None:
    """Read a node's entry; None for one of another form."""
    try:
        return record_from_json(item.value or '', Member)
    except CodecError:
        # Another version's entry: it is neither asked nor counted.
        return None
