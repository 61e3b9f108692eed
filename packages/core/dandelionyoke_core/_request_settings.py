"""Limits of the requests of one node."""

import attrs


@attrs.frozen
class RequestSettings:
    """How long, how often and how much a call may be tried.

    A stream that is silent for `silence_limit_s` is resumed, at any point of
    its answer. One that was resumed may stay silent for `accept_limit_s`
    until the engine answers, if it had answered before, and then for
    `first_token_limit_s` before its first token. A begun answer waits for a
    target for `stall_limit_s`. Retries draw on a budget that earns
    `retry_share` for each call and `retry_refill_per_s` for each second, and
    holds `retry_reserve` at most.
    """

    first_token_limit_s: float = 30.0
    silence_limit_s: float = 5.0
    accept_limit_s: float = 2.0
    stall_limit_s: float = 30.0
    stall_pause_s: float = 0.5
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
