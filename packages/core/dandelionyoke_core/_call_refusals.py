"""The refusals of calls, each with its remedy."""

from dandelionyoke_core._entities import Model
from dandelionyoke_core._events import ServiceCalled
from dandelionyoke_core._ports import NoRoute
from dandelionyoke_core._refusals import Refusal, RefusalKind, RunState

FULL_ENTRY_RETRY_S = 1.0
SEND_AGAIN = 'Send the request again after retry_after_s'


def unknown_model(model_name: str) -> Refusal:
    """Refuse a model that the configuration does not name."""
    return Refusal(
        RefusalKind.UNKNOWN_MODEL,
        f'There is no model {model_name!r}',
        'Choose a model that GET /v1/models lists',
    )


def unknown_service(service_name: str) -> Refusal:
    """Refuse a plain service that the configuration does not name."""
    return Refusal(
        RefusalKind.UNKNOWN_SERVICE,
        f'There is no plain service {service_name!r}',
        'Ask the operator for the name of the service',
    )


def too_long(
    prompt_tokens: int, max_output_tokens: int, model: Model
) -> Refusal:
    """Refuse a call that does not fit into the model's context."""
    return Refusal(
        RefusalKind.TOO_LARGE,
        f'{prompt_tokens} prompt tokens and {max_output_tokens} output '
        f'tokens exceed the {model.context_tokens} of {model.model_name}',
        'Shorten the prompt or lower max_tokens',
    )


def key_required(event: ServiceCalled) -> Refusal:
    """Refuse a call that may run at most once and cannot be recognised."""
    return Refusal(
        RefusalKind.KEY_REQUIRED,
        f'{event.method} {event.path} may run at most once and came '
        'without a key',
        'Send the header Idempotency-Key with a value of your own, the '
        'same one whenever you repeat this call',
    )


def too_many_calls() -> Refusal:
    """Refuse a call because this entry's table is full."""
    return Refusal(
        RefusalKind.OVERLOADED,
        'This entry holds as many calls as it can',
        SEND_AGAIN,
        retry_after_s=FULL_ENTRY_RETRY_S,
    )


def caller_left() -> Refusal:
    """End a call that nobody waits for any more."""
    return Refusal(
        RefusalKind.DEADLINE,
        'The connection ended before the answer did',
        'Keep the connection open until the answer ends',
    )


def key_withdrawn() -> Refusal:
    """End a call whose key stopped being valid."""
    return Refusal(
        RefusalKind.WITHDRAWN,
        'The key of this request was withdrawn while it ran',
        'Ask the operator for a new key',
    )


def cut_short() -> Refusal:
    """End a call because the process has to stop at once."""
    return Refusal(
        RefusalKind.LEAVING,
        'This entry was told to stop at once',
        'Send the request again; another entry takes it',
        retry_after_s=FULL_ENTRY_RETRY_S,
    )


def too_late() -> Refusal:
    """End a call whose deadline has passed."""
    return Refusal(
        RefusalKind.DEADLINE,
        'The deadline of this request has passed',
        'Allow more time or ask for less output',
    )


def no_target(no_route: NoRoute) -> Refusal:
    """Refuse a call because the router found no target."""
    return Refusal(
        RefusalKind.NO_TARGET,
        f'No target can take this request now ({no_route.cause})',
        SEND_AGAIN,
        retry_after_s=no_route.retry_after_s,
    )


def over_budget(retry_after_s: float) -> Refusal:
    """Give a call up because too many are being tried again already."""
    return Refusal(
        RefusalKind.TARGET_FAILED,
        'The target failed and too many requests are being tried again already',
        SEND_AGAIN,
        retry_after_s=retry_after_s,
    )


def worn_out(placements: int, retry_after_s: float) -> Refusal:
    """Give a call up because it was tried often enough."""
    return Refusal(
        RefusalKind.TARGET_FAILED,
        f'{placements} targets failed or refused this request',
        SEND_AGAIN,
        retry_after_s=retry_after_s,
    )


def end_unknown(cause: str, *, unrepeatable: bool) -> Refusal:
    """Tell that a plain service was called and did not answer."""
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
