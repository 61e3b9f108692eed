"""Refusals: why a call gets no answer and what the caller can do."""

import enum
from http import HTTPStatus
from types import MappingProxyType

import attrs


@enum.unique
class RunState(enum.Enum):
    """Whether a refused call may have run at a target."""

    NO = 'no'
    UNKNOWN = 'unknown'


@enum.unique
class RefusalKind(enum.Enum):
    """Kind of refusal; each has one HTTP status."""

    MALFORMED = 'malformed'
    UNAUTHENTICATED = 'unauthenticated'
    FORBIDDEN = 'forbidden'
    UNKNOWN_MODEL = 'unknown_model'
    UNKNOWN_SERVICE = 'unknown_service'
    KEY_REQUIRED = 'idempotency_key_required'
    KEY_REUSED = 'idempotency_key_reused'
    IN_PROGRESS = 'in_progress'
    TOO_LARGE = 'too_large'
    QUARANTINED = 'quarantined'
    OVER_LIMIT = 'over_limit'
    OVERLOADED = 'overloaded'
    NO_TARGET = 'no_target'
    NO_KNOWLEDGE = 'no_knowledge'
    STORE_DOWN = 'store_down'
    LEAVING = 'leaving'
    WITHDRAWN = 'withdrawn'
    TARGET_FAILED = 'target_failed'
    DEADLINE = 'deadline'
    END_UNKNOWN = 'end_unknown'

    @property
    def status(self) -> HTTPStatus:
        """The HTTP status that this kind is answered with."""
        return _STATUSES[self]


_STATUSES = MappingProxyType(
    {
        RefusalKind.MALFORMED: HTTPStatus.BAD_REQUEST,
        RefusalKind.UNAUTHENTICATED: HTTPStatus.UNAUTHORIZED,
        RefusalKind.FORBIDDEN: HTTPStatus.FORBIDDEN,
        RefusalKind.UNKNOWN_MODEL: HTTPStatus.NOT_FOUND,
        RefusalKind.UNKNOWN_SERVICE: HTTPStatus.NOT_FOUND,
        RefusalKind.KEY_REQUIRED: HTTPStatus.BAD_REQUEST,
        RefusalKind.KEY_REUSED: HTTPStatus.UNPROCESSABLE_ENTITY,
        RefusalKind.IN_PROGRESS: HTTPStatus.CONFLICT,
        RefusalKind.TOO_LARGE: HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
        RefusalKind.QUARANTINED: HTTPStatus.UNPROCESSABLE_ENTITY,
        RefusalKind.OVER_LIMIT: HTTPStatus.TOO_MANY_REQUESTS,
        RefusalKind.OVERLOADED: HTTPStatus.SERVICE_UNAVAILABLE,
        RefusalKind.NO_TARGET: HTTPStatus.SERVICE_UNAVAILABLE,
        RefusalKind.NO_KNOWLEDGE: HTTPStatus.SERVICE_UNAVAILABLE,
        RefusalKind.STORE_DOWN: HTTPStatus.SERVICE_UNAVAILABLE,
        RefusalKind.LEAVING: HTTPStatus.SERVICE_UNAVAILABLE,
        RefusalKind.WITHDRAWN: HTTPStatus.UNAUTHORIZED,
        RefusalKind.TARGET_FAILED: HTTPStatus.BAD_GATEWAY,
        RefusalKind.DEADLINE: HTTPStatus.GATEWAY_TIMEOUT,
        RefusalKind.END_UNKNOWN: HTTPStatus.GATEWAY_TIMEOUT,
    }
)


@attrs.frozen
class Refusal:
    """Final answer to a call that is not served.

    `run` is NO only if no byte of the request left this system, or every
    target that received it stated that it did not run it. `retry_after_s`
    is when to retry; None if a retry cannot help.
    """

    kind: RefusalKind
    detail: str
    remedy: str
    run: RunState = RunState.NO
    retry_after_s: float | None = None
