"""Which other nodes there are, as far as the store knows."""

from collections.abc import Callable

from eventlet import sleep

from dandelionyoke_core import OperationId, StoreList, StoreListing
from dandelionyoke_gateway._knowledge import Knowledge
from dandelionyoke_gateway._leased_records import LeasedRecords
from dandelionyoke_gateway._ports import Store

MEMBERS_PREFIX = 'members/'
# A node that is gone is counted for so long. What depends on the number of
# nodes allows for half as many again.
MEMBER_TTL_S = 15.0
INTERVAL_S = 5.0


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
        while True:
            self._records.keep(key, settings.domain)
            self._count()
            sleep(INTERVAL_S * self._knowledge.random.uniform(0.8, 1.2))

    def _count(self) -> None:
        # A count may be seconds old; such a read costs a tenth of another.
        answer = self._store.perform(
            StoreList(OperationId('members'), MEMBERS_PREFIX, may_be_old=True)
        )
        if not isinstance(answer, StoreListing):
            return
        own = self._knowledge.settings.instance_id
        others = {
            item.key.removeprefix(MEMBERS_PREFIX) for item in answer.items
        }
        members = tuple(sorted(others | {own}))
        self._knowledge.take_node_count(len(members))
        self._tell(members)
