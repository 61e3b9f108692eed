"""Timeouts and limits for the calls of one node."""

import attrs


@attrs.frozen
class RequestSettings:
    """Timeouts, attempt limits and the retry budget.

    A stream is resumed after `silence_timeout_s` without data, at any point
    of its answer. After a resume the engine has `accept_timeout_s` to accept
    the stream, if it accepted the call before, and then
    `first_token_timeout_s` until the first token. A call with a partial
    answer waits for a target for at most `max_stall_s`. The retry budget
    grows by `retry_share` per call and `retry_refill_per_s` per second, up to
    `retry_reserve`.
    """

    first_token_timeout_s: float = 30.0
    silence_timeout_s: float = 5.0
    accept_timeout_s: float = 2.0
    max_stall_s: float = 30.0
    stall_retry_interval_s: float = 0.5
    default_deadline_s: float = 900.0
    service_timeout_s: float = 30.0
    service_grace_s: float = 2.0
    max_attempts: int = 6
    max_resumes: int = 50
    max_calls: int = 10_000
    retry_share: float = 0.2
    retry_reserve: float = 10.0
    retry_refill_per_s: float = 0.5
    steady_prompt_tokens: int = 8_000
    service_call_tokens: int = 64
