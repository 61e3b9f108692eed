"""Opens the links between nodes and dispatches their messages."""

from functools import partial

import attrs
from eventlet.green import socket

from dandelionyoke_core import Event, InstanceId
from dandelionyoke_gateway._handover import Handover
from dandelionyoke_gateway._handover_server import HandoverServer
from dandelionyoke_gateway._introduction_task import IntroductionTask
from dandelionyoke_gateway._knowledge import Knowledge
from dandelionyoke_gateway._link_secret import LinkSecret
from dandelionyoke_gateway._log import DecisionLog
from dandelionyoke_gateway._news_server import NewsServer
from dandelionyoke_gateway._news_task import NewsTask
from dandelionyoke_gateway._prefill_links import PrefillLinks
from dandelionyoke_gateway._source_services import SourceServices
from dandelionyoke_gateway._stream_origin_keeper import StreamOriginKeeper
from dandelionyoke_gateway._task_guard import TaskGuard
from dandelionyoke_links import PeerHub, PeerSettings


@attrs.frozen
class LinkServices:
    """The parts that send and receive messages over links."""

    news_task: NewsTask
    prefill_links: PrefillLinks
    source_services: SourceServices
    handover: Handover
    handover_server: HandoverServer
    origins: StreamOriginKeeper

    def attach(self, hub: PeerHub, tasks: TaskGuard) -> None:
        """Let all parts send over the links of a hub."""
        hub.serve_calls(self.handover_server.serve)
        self.handover.attach(hub.open_call)
        self.prefill_links.attach(hub.send)
        self.source_services.start(hub.send, hub.connect, tasks)
        self.origins.attach(hub.send, hub.connect)

    def handle_event(self, event: Event) -> bool:
        """Handle a link event; return whether it was for one of the parts."""
        return (
            self.origins.handle_event(event)
            or self.prefill_links.handle_event(event)
            or self.source_services.handle_event(event)
        )


def serve_news(
    listener: socket.socket,
    services: LinkServices,
    knowledge: Knowledge,
    link_secret: LinkSecret,
    log: DecisionLog,
    tasks: TaskGuard,
) -> None:
    """Start to serve and poll other nodes, once there is a secret."""
    settings = knowledge.settings
    secret = link_secret.wait()
    own_id = InstanceId(settings.instance_id)
    introductions = IntroductionTask(knowledge, log)

    def emit(event: Event) -> None:
        introductions.handle_event(event)
        if not services.handle_event(event):
            services.news_task.handle_event(server, event)

    hub = PeerHub(PeerSettings(own_id, secret.encode()), emit)
    server = NewsServer(knowledge, hub.send)
    services.attach(hub, tasks)
    tasks.start('link_server', partial(hub.serve, listener))
    tasks.start(
        'introductions', partial(introductions.run, hub.send, hub.connect)
    )
    tasks.start('news', partial(services.news_task.run, hub))
    log.decide('links.opened', settings.instance_id)
