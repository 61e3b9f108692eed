"""What admission says when it does not let a call in."""

from dandelionyoke_core._admission_settings import AdmissionSettings
from dandelionyoke_core._names import ServiceName
from dandelionyoke_core._refusals import Refusal, RefusalKind

REMEDY = 'Send the call again after the time given'


def no_target(settings: AdmissionSettings, service: ServiceName) -> Refusal:
    """Refuse a call that no target can take."""
    return Refusal(
        RefusalKind.NO_TARGET,
        f'no target of {service} can take work now',
        REMEDY,
        retry_after_s=settings.no_target_retry_s,
    )


def overloaded(
    settings: AdmissionSettings,
    kind: RefusalKind,
    detail: str,
    wait_s: float,
) -> Refusal:
    """Refuse a call that would wait too long."""
    return Refusal(
        kind, detail, REMEDY, retry_after_s=bounded_retry(settings, wait_s)
    )


def bounded_retry(settings: AdmissionSettings, wait_s: float) -> float:
    """Keep the time to come back within what is of use to a caller."""
    return min(settings.max_retry_s, max(settings.min_retry_s, wait_s))
