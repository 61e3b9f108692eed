"""Refusals as HTTP error responses (problem+json and OpenAI format)."""

import json
import math

from dandelionyoke_core import Refusal, RequestId

PROBLEM_TYPE = 'application/problem+json'

# Error types known to OpenAI client libraries; any other status maps to
# `api_error`.
_ERROR_TYPES = (
    (400, 'invalid_request_error'),
    (401, 'authentication_error'),
    (403, 'permission_error'),
    (404, 'not_found_error'),
    (429, 'rate_limit_error'),
)


def problem_body(request_id: RequestId, refusal: Refusal) -> bytes:
    """Encode a refusal as problem+json with an OpenAI `error` member."""
    return json.dumps(
        {
            'type': f'urn:dandelionyoke:{refusal.kind.value}',
            'title': refusal.kind.value.replace('_', ' '),
            'status': refusal.kind.status.value,
            'detail': refusal.detail,
            'remedy': refusal.remedy,
            'run': refusal.run.value,
            'retry_after_s': refusal.retry_after_s,
            'request_id': request_id,
            'error': error_object(refusal),
        }
    ).encode()


def error_object(refusal: Refusal) -> dict[str, str]:
    """Return a refusal as the `error` object of an OpenAI response."""
    return {
        'message': f'{refusal.detail}. {refusal.remedy}.',
        'type': _error_type(refusal.kind.status.value),
        'code': refusal.kind.value,
    }


def problem_headers(
    request_id: RequestId, refusal: Refusal
) -> list[tuple[str, str]]:
    """Return the headers of a refusal.

    `Retry-After` is in whole seconds, rounded up.
    """
    headers = [('Content-Type', PROBLEM_TYPE), ('X-Request-Id', request_id)]
    if refusal.retry_after_s is not None:
        retry_after_s = max(1, math.ceil(refusal.retry_after_s))
        headers.append(('Retry-After', str(retry_after_s)))
    return headers


def _error_type(status: int) -> str:
    return dict(_ERROR_TYPES).get(status, 'api_error')
