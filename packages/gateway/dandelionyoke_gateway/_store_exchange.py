"""The calls of a store action, and the era in which they were answered."""

from collections.abc import Callable
from typing import Protocol

import attrs

from dandelionyoke_core import Action, StoreFailed, StoreResult
from dandelionyoke_gateway._errors import ExchangeError
from dandelionyoke_gateway._json_call import CallLimits, JsonReply, call_json
from dandelionyoke_gateway._json_fields import FieldError, Fields
from dandelionyoke_gateway._target_pool import TargetPool


class StoreCall(Protocol):
    """Makes one call to the store."""

    def __call__(
        self,
        method: str,
        path: str,
        timeout_s: float | None = None,
        body: Fields | None = None,
    ) -> JsonReply:
        """Make a call; `timeout_s` is the usual one if None.

        Raises:
            ExchangeError: no complete reply arrived.
            FieldError: it is of another era than the call before.
        """


class StoreCalls(Protocol):
    """Knows the calls that perform a store action, and their answers."""

    def dispatch(self, action: Action) -> StoreResult:
        """Perform an action.

        Raises:
            ExchangeError: a call had no complete answer.
            FieldError: an answer is not valid.
        """


@attrs.frozen
class StoreEndpoint:
    """Where the store is, and how it is called."""

    address: str
    timeout_s: float
    era_header: str


class StoreExchange:
    """Performs one action in the store's own revisions and leases."""

    def __init__(
        self,
        endpoint: StoreEndpoint,
        pool: TargetPool,
        new_calls: Callable[[StoreCall], StoreCalls],
    ) -> None:
        self._endpoint = endpoint
        self._pool = pool
        self._calls = new_calls(self._call)
        self.era_text: str | None = None

    def perform(self, action: Action) -> StoreResult:
        """Perform an action; a failed call gives StoreFailed, no error."""
        try:
            return self._calls.dispatch(action)
        except ExchangeError as error:
            # The other open connections to the store may be dead as well.
            self._pool.close_idle(self._endpoint.address)
            return StoreFailed(error.cause, may_have_been_applied=error.sent)
        except FieldError as malformed:
            return StoreFailed(
                f'bad answer: {malformed}', may_have_been_applied=True
            )

    def _call(
        self,
        method: str,
        path: str,
        timeout_s: float | None = None,
        body: Fields | None = None,
    ) -> JsonReply:
        endpoint = self._endpoint
        limits = CallLimits(timeout_s or endpoint.timeout_s)
        reply = call_json(
            self._pool, endpoint.address, method, path, body, limits=limits
        )
        era_text = reply.head.header(endpoint.era_header)
        if self.era_text not in {None, era_text}:
            raise FieldError('the pages of a listing are of two eras')
        self.era_text = era_text
        return reply
