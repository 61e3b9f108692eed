"""Refusals of calls that are not admitted."""

from dandelionyoke_core._admission_settings import AdmissionSettings
from dandelionyoke_core._names import ServiceName
from dandelionyoke_core._refusals import Refusal, RefusalKind

RETRY_REMEDY = 'Send the call again after the time given'


def no_target(settings: AdmissionSettings, service: ServiceName) -> Refusal:
    """Refuse a call because its service has no usable target."""
    return Refusal(
        RefusalKind.NO_TARGET,
        f'no target of {service} can take work now',
        RETRY_REMEDY,
        retry_after_s=settings.no_target_retry_s,
    )


def overloaded(
    settings: AdmissionSettings,
    kind: RefusalKind,
    detail: str,
    wait_s: float,
) -> Refusal:
    """Refuse a call because of the length of the queue."""
    return Refusal(
        kind,
        detail,
        RETRY_REMEDY,
        retry_after_s=clamp_retry_after_s(settings, wait_s),
    )


def clamp_retry_after_s(settings: AdmissionSettings, wait_s: float) -> float:
    """Limit a retry delay to the configured minimum and maximum."""
    return min(settings.max_retry_s, max(settings.min_retry_s, wait_s))
