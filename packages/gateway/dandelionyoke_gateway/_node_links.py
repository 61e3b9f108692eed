"""The parts of a node that talk to other nodes."""

from functools import partial

import attrs
from eventlet.green import socket

from dandelionyoke_gateway._caller_connection import Handler
from dandelionyoke_gateway._domain_prefill_queue import DomainPrefillQueue
from dandelionyoke_gateway._domain_reach_task import DomainReachTask
from dandelionyoke_gateway._handover import Handover
from dandelionyoke_gateway._handover_server import HandoverServer
from dandelionyoke_gateway._knowledge import Knowledge
from dandelionyoke_gateway._link_secret import LinkSecret
from dandelionyoke_gateway._log import DecisionLog
from dandelionyoke_gateway._news_links import LinkServices, serve_news
from dandelionyoke_gateway._news_task import NewsTask
from dandelionyoke_gateway._ports import Store
from dandelionyoke_gateway._prefill_links import PrefillLinks
from dandelionyoke_gateway._prefill_queue import LocalPrefillQueue
from dandelionyoke_gateway._source_services import SourceServices
from dandelionyoke_gateway._store_returns import StoreReturns
from dandelionyoke_gateway._stream_origin_keeper import StreamOriginKeeper
from dandelionyoke_gateway._stream_record_reader import StreamRecordReader
from dandelionyoke_gateway._stream_records import StreamRecordTask
from dandelionyoke_gateway._task_guard import TaskGuard


@attrs.frozen
class NodeLinks:
    """What calls need of other nodes, and what this one does for them."""

    knowledge: Knowledge
    log: DecisionLog
    handover: Handover
    sources: SourceServices
    local_prefill_queue: LocalPrefillQueue
    prefill_queue: DomainPrefillQueue
    origins: StreamOriginKeeper
    stream_records: StreamRecordTask
    domain_reach: DomainReachTask

    def start(
        self,
        listener: socket.socket,
        news_task: NewsTask,
        handler: Handler,
        store: Store,
        returns: StoreReturns,
        tasks: TaskGuard,
    ) -> None:
        """Serve other nodes and ask them, until the process exits."""
        services = LinkServices(
            news_task,
            PrefillLinks(
                self.prefill_queue,
                self.local_prefill_queue,
                self.knowledge.loads,
                self.log,
                self.domain_reach,
            ),
            self.sources,
            self.handover,
            HandoverServer(handler, self.log, self.knowledge.client_resources),
            self.origins,
        )
        secret = LinkSecret(store, self.knowledge.random, self.log)
        returns.follow(secret.store_replaced)
        returns.follow(self.stream_records.store_replaced)
        tasks.start('stream_records', self.stream_records.run)
        tasks.start(
            'links',
            partial(
                serve_news,
                listener,
                services,
                self.knowledge,
                secret,
                self.log,
                tasks,
            ),
        )

    def finish(self) -> None:
        """Save on shutdown what other nodes need of this one."""
        self.stream_records.finish()


def new_node_links(
    knowledge: Knowledge, store: Store, log: DecisionLog
) -> NodeLinks:
    """Create the parts; they decide locally until the links are open."""
    local_prefill_queue = LocalPrefillQueue(knowledge)
    local_prefill_queue.attach_log(log)
    sources = SourceServices(knowledge, log)
    domain_reach = DomainReachTask(knowledge, log)
    return NodeLinks(
        knowledge,
        log,
        Handover(knowledge, log, sources.target_gate),
        sources,
        local_prefill_queue,
        DomainPrefillQueue(local_prefill_queue, knowledge, log, domain_reach),
        StreamOriginKeeper(
            knowledge, StreamRecordReader(store, knowledge.random, log)
        ),
        StreamRecordTask(knowledge, store, log),
        domain_reach,
    )
