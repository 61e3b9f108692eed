"""Opens the links on which nodes ask each other for news."""

import secrets

import eventlet
from eventlet.green import socket

from dandelionyoke_core import (
    BackOff,
    BackOffSettings,
    Event,
    InstanceId,
    OperationId,
    StoreConflict,
    StoreGet,
    StoreItem,
    StorePut,
    StoreWritten,
)
from dandelionyoke_gateway._knowledge import Knowledge
from dandelionyoke_gateway._log import DecisionLog
from dandelionyoke_gateway._news_desk import NewsDesk
from dandelionyoke_gateway._news_task import NewsTask
from dandelionyoke_gateway._ports import Store
from dandelionyoke_gateway._prefill_links import PrefillLinks
from dandelionyoke_gateway._source_parts import SourceParts
from dandelionyoke_links import PeerHub, PeerSettings

# Whoever can write to the store may ask and answer; the first node of a new
# fleet chooses the secret.
SECRET_KEY = 'links/secret'
SECRET_BYTES = 24
BACK_OFF = BackOffSettings(first_s=0.2, longest_s=2.0)


def serve_news(
    listener: socket.socket,
    task: NewsTask,
    prefills: PrefillLinks,
    sources: SourceParts,
    knowledge: Knowledge,
    store: Store,
    log: DecisionLog,
) -> None:
    """Answer other nodes and ask them, for as long as the process lives."""
    settings = knowledge.settings
    secret = _wait_for_secret(store, BackOff(BACK_OFF, knowledge.random))
    own_id = InstanceId(settings.instance_id)

    def emit(event: Event) -> None:
        if not prefills.take(event) and not sources.take(event):
            task.take(desk, event)

    hub = PeerHub(PeerSettings(own_id, secret.encode()), emit)
    desk = NewsDesk(knowledge, hub.send)
    prefills.attach(hub.send)
    sources.start(hub.send, hub.connect)
    eventlet.spawn_n(hub.serve, listener)
    log.decide('links.opened', settings.instance_id)
    task.run(hub)


def _wait_for_secret(store: Store, back_off: BackOff) -> str:
    while True:
        secret = _find_secret(store)
        if secret:
            return secret
        eventlet.sleep(back_off.next_s())


def _find_secret(store: Store) -> str | None:
    """Read the secret, or choose it; None: the store cannot tell now."""
    operation = OperationId('secret')
    found = store.perform(StoreGet(operation, SECRET_KEY))
    if not isinstance(found, StoreItem):
        return None
    if found.value:
        return found.value
    chosen = secrets.token_hex(SECRET_BYTES)
    written = store.perform(
        StorePut(operation, SECRET_KEY, chosen, found.revision)
    )
    if isinstance(written, StoreWritten):
        return chosen
    if isinstance(written, StoreConflict):
        return written.present.value
    return None
