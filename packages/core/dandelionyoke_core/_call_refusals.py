"""Refusals of calls, each with a remedy for the caller."""

from dandelionyoke_core._entities import Model
from dandelionyoke_core._events import ServiceCallRequested
from dandelionyoke_core._ports import NoRoute
from dandelionyoke_core._refusals import Refusal, RefusalKind, RunState

FULL_ENTRY_RETRY_S = 1.0
RETRY_REMEDY = 'Send the request again after retry_after_s'


def unknown_model(model_name: str) -> Refusal:
    """Refuse a call of a model that is not in the configuration."""
    return Refusal(
        RefusalKind.UNKNOWN_MODEL,
        f'There is no model {model_name!r}',
        'Choose a model that GET /v1/models lists',
    )


def unknown_service(service_name: str) -> Refusal:
    """Refuse a call of a plain service that is not in the configuration."""
    return Refusal(
        RefusalKind.UNKNOWN_SERVICE,
        f'There is no plain service {service_name!r}',
        'Ask the operator for the name of the service',
    )


def context_exceeded(
    prompt_tokens: int, max_output_tokens: int, model: Model
) -> Refusal:
    """Refuse a call that exceeds the context length of the model."""
    return Refusal(
        RefusalKind.TOO_LARGE,
        f'{prompt_tokens} prompt tokens and {max_output_tokens} output '
        f'tokens exceed the {model.context_tokens} of {model.model_name}',
        'Shorten the prompt or lower max_tokens',
    )


def idempotency_key_required(event: ServiceCallRequested) -> Refusal:
    """Refuse an unrepeatable call that has no idempotency key."""
    return Refusal(
        RefusalKind.KEY_REQUIRED,
        f'{event.method} {event.path} may run at most once and came '
        'without a key',
        'Send the header Idempotency-Key with a value of your own, the same '
        'one whenever you repeat this call',
    )


def call_table_full() -> Refusal:
    """Refuse a call because the call table of this entry is full."""
    return Refusal(
        RefusalKind.OVERLOADED,
        'This entry holds as many calls as it can',
        RETRY_REMEDY,
        retry_after_s=FULL_ENTRY_RETRY_S,
    )


def caller_disconnected() -> Refusal:
    """End a call after its caller has disconnected."""
    return Refusal(
        RefusalKind.DEADLINE,
        'The connection ended before the answer did',
        'Keep the connection open until the answer ends',
    )


def key_revoked() -> Refusal:
    """End a call after its API key was revoked."""
    return Refusal(
        RefusalKind.WITHDRAWN,
        'The key of this request was withdrawn while it ran',
        'Ask the operator for a new key',
    )


def forced_shutdown() -> Refusal:
    """End a call because the process must shut down at once."""
    return Refusal(
        RefusalKind.LEAVING,
        'This entry was told to stop at once',
        'Send the request again; another entry takes it',
        retry_after_s=FULL_ENTRY_RETRY_S,
    )


def deadline_passed() -> Refusal:
    """End a call after its deadline has passed."""
    return Refusal(
        RefusalKind.DEADLINE,
        'The deadline of this request has passed',
        'Allow more time or ask for less output',
    )


def no_target(no_route: NoRoute) -> Refusal:
    """Refuse a call because no target can be chosen."""
    return Refusal(
        RefusalKind.NO_TARGET,
        f'No target can take this request now ({no_route.cause})',
        RETRY_REMEDY,
        retry_after_s=no_route.retry_after_s,
    )


def retry_budget_exhausted(retry_after_s: float) -> Refusal:
    """End a call because the retry budget of this entry is exhausted."""
    return Refusal(
        RefusalKind.TARGET_FAILED,
        'The target failed and too many requests are being tried again already',
        RETRY_REMEDY,
        retry_after_s=retry_after_s,
    )


def attempts_exhausted(placements: int, retry_after_s: float) -> Refusal:
    """End a call after the maximum number of attempts."""
    return Refusal(
        RefusalKind.TARGET_FAILED,
        f'{placements} targets failed or refused this request',
        RETRY_REMEDY,
        retry_after_s=retry_after_s,
    )


def outcome_unknown(cause: str, *, unrepeatable: bool) -> Refusal:
    """End a call of a plain service that was sent and not answered."""
    if unrepeatable:
        return Refusal(
            RefusalKind.END_UNKNOWN,
            f'The call was sent and its end is not known ({cause})',
            'Find out at the service whether it ran; a repeat with the same '
            'Idempotency-Key is not sent again',
            RunState.UNKNOWN,
        )
    return Refusal(
        RefusalKind.TARGET_FAILED,
        f'The call was sent and no answer came ({cause})',
        'Find out at the service whether it ran before you send it again',
        RunState.UNKNOWN,
    )
