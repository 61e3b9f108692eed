"""JSON calls over the gateway's pool, with limits on time and size."""

import json
import math
from collections.abc import Mapping
from typing import Any

import attrs

from dandelionyoke_gateway._clock import clock_s
from dandelionyoke_gateway._json_fields import (
    FieldError,
    Fields,
    parse_object,
)
from dandelionyoke_gateway._messages import (
    HeaderList,
    RequestHead,
    ResponseHead,
)
from dandelionyoke_gateway._target_pool import TargetPool

MAX_BODY_BYTES = 8388608


@attrs.frozen
class CallLimits:
    """Timeout of a call, and the time (`clock_s`) until which it is sent.

    A call that must not arrive late uses a new connection: setting one up
    shows that the network works at that moment.
    """

    timeout_s: float
    send_until_s: float = math.inf
    needs_new_connection: bool = False


@attrs.frozen
class JsonReply:
    """Head and JSON fields of a reply; no fields if the body has none.

    `is_first` is whether nothing else was sent on its connection before.
    """

    head: ResponseHead
    fields: Fields
    is_first: bool = True

    @property
    def status(self) -> int:
        """The status of the reply."""
        return self.head.status


def call_json(
    pool: TargetPool,
    address: str,
    method: str,
    path: str,
    body: Mapping[str, Any] | None = None,
    headers: HeaderList = (),
    *,
    limits: CallLimits,
) -> JsonReply:
    """Make one call.

    Raises:
        ExchangeError: no complete reply arrived, or the time to send had
            passed once there was a connection.
    """
    request_body = b'' if body is None else json.dumps(body).encode()
    json_type = () if body is None else (('content-type', 'application/json'),)
    head = RequestHead(method, path, (('host', address), *json_type, *headers))
    deadline_s = clock_s() + limits.timeout_s
    acquire = (
        pool.acquire_new if limits.needs_new_connection else pool.acquire_brief
    )
    with acquire(address) as connection:
        connection.send(head, request_body, limits.send_until_s)
        reply_head = connection.read_head(deadline_s)
        reply_body = connection.read_body(deadline_s, MAX_BODY_BYTES)
        is_first = connection.is_new
    return JsonReply(reply_head, _parse_fields(reply_body), is_first)


def _parse_fields(reply_body: bytes) -> Fields:
    try:
        # One text must not spoil a whole listing.
        return parse_object(reply_body, allows_surrogates=True)
    except FieldError:
        # A failure may have no JSON body; its status is enough.
        return {}
