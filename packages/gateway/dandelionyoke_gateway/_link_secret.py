"""The secret that authenticates nodes to each other.

It is kept in the store, so access to the store grants access to the links. The
first node of a new fleet generates it.
"""

import secrets
from random import Random

import eventlet

from dandelionyoke_core import (
    BackOff,
    BackOffSettings,
    OperationId,
    StoreConflict,
    StoreFailed,
    StoreGet,
    StoreItem,
    StorePut,
    StoreWritten,
)
from dandelionyoke_gateway._log import DecisionLog
from dandelionyoke_gateway._ports import Store

SECRET_KEY = 'links/secret'
SECRET_BYTES = 24
SECRET_BACKOFF = BackOffSettings(initial_s=0.2, max_s=2.0)
OPERATION = OperationId('secret')


class LinkSecret:
    """Reads or creates the secret, and keeps it in the store."""

    def __init__(self, store: Store, random: Random, log: DecisionLog) -> None:
        self._store = store
        self._random = random
        self._log = log
        self._secret = ''

    def wait(self) -> str:
        """Wait until the store has the secret, and return it."""
        back_off = self._new_back_off()
        while not self._secret:
            self._secret = self._load_or_create() or ''
            if not self._secret:
                eventlet.sleep(back_off.next_s())
        return self._secret

    def store_replaced(self) -> None:
        """Write the secret again; a node that starts would create another."""
        if self._secret:
            eventlet.spawn_n(self._write_again)

    def _load_or_create(self) -> str | None:
        """Read the secret or create it; None if the store did not answer."""
        item = self._store.perform(StoreGet(OPERATION, SECRET_KEY))
        if not isinstance(item, StoreItem):
            return None
        if item.value:
            return item.value
        created = secrets.token_hex(SECRET_BYTES)
        written = self._store.perform(
            StorePut(OPERATION, SECRET_KEY, created, item.revision)
        )
        if isinstance(written, StoreWritten):
            return created
        if isinstance(written, StoreConflict):
            return written.present.value
        return None

    def _write_again(self) -> None:
        back_off = self._new_back_off()
        put = StorePut(OPERATION, SECRET_KEY, self._secret, 0)
        while isinstance(answer := self._store.perform(put), StoreFailed):
            eventlet.sleep(back_off.next_s())
        if isinstance(answer, StoreConflict):
            if answer.present.value != self._secret:
                self._log.decide(
                    'links.secret',
                    SECRET_KEY,
                    outcome='differs',
                    cause='nodes that start from now on cannot link to this one',
                )

    def _new_back_off(self) -> BackOff:
        return BackOff(SECRET_BACKOFF, self._random)
