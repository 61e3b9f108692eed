"""Binds a stream to the version of its engine's software.

What two versions write does not fit together, and engines do not check it.
"""

import attrs

from dandelionyoke_dispatch import (
    DEFAULT_RETRY_AFTER_S,
    OTHER_INSTANCE_RETRY_AFTER_S,
    Cause,
    Refusal,
    StreamOrigin,
)
from dandelionyoke_gateway._call_context import CallContext
from dandelionyoke_gateway._call_dispatcher import (
    CallDependencies,
    RefusedError,
)
from dandelionyoke_gateway._stream_origin_keeper import FoundOrigin


def bind_resumed(deps: CallDependencies, context: CallContext) -> None:
    """Bind a stream that its caller takes up to the version that began it.

    Raises:
        RefusedError: the version is not known, or no target has it.
    """
    handed_over = context.request.handed_over
    if handed_over is not None and handed_over.version is not None:
        context.version = handed_over.version
    elif context.call.resumed_attempt_id or context.call.last_event_id:
        _bind_to_origin(deps, context)
    if context.version is None:
        return
    targets = deps.knowledge.placement.decode_targets(context.service.name)
    if all(target.version != context.version for target in targets):
        raise RefusedError(Refusal(Cause.VERSION_GONE, DEFAULT_RETRY_AFTER_S))


def bind_at_head(context: CallContext, version: str | None) -> None:
    """Let the node that handed a call over know its version.

    That node gets the version with the head of the answer, so that no other
    one may begin the stream then.
    """
    context.responder.version = version
    if context.request.handed_over is not None and context.version is None:
        context.version = version


def bind_at_event(
    deps: CallDependencies,
    context: CallContext,
    version: str | None,
    *,
    is_elsewhere: bool,
) -> None:
    """Bind a stream to the version of its first event, before it is sent on.

    `version` is None if a node of an earlier version sends the event.
    """
    if context.has_events:
        return
    context.has_events = True
    if context.version is None:
        context.version = version
    if context.version is None or not context.route.is_resumable:
        return
    deps.origins.record(
        _first_attempt_id(context),
        StreamOrigin(context.service.name, context.version),
        # The node that sends the call to a target tells the others.
        is_told=not is_elsewhere,
    )


def release_at_end(deps: CallDependencies, context: CallContext) -> None:
    """Forget for the store where a stream began, as it has ended whole."""
    if context.route.is_resumable:
        deps.origins.end(_first_attempt_id(context))


def is_version_lost(context: CallContext) -> bool:
    """Whether the caller has events of a version that is not known."""
    return context.has_events and context.version is None


def _bind_to_origin(deps: CallDependencies, context: CallContext) -> None:
    found = _find(deps, context)
    if found.origin is None:
        _log(deps, context, found)
        raise RefusedError(
            Refusal(Cause.VERSION_UNKNOWN, OTHER_INSTANCE_RETRY_AFTER_S)
        )
    context.version = found.origin.version
    _keep_service(deps, context, found.origin.service)
    _log(deps, context, found)


def _find(deps: CallDependencies, context: CallContext) -> FoundOrigin:
    service = context.service.name
    is_handed = context.request.handed_over is not None
    if context.call.resumed_attempt_id is None and not is_handed:
        return deps.origins.only_listed(service, context.deadline_s)
    return deps.origins.find(
        _first_attempt_id(context), service, context.deadline_s
    )


def _keep_service(
    deps: CallDependencies, context: CallContext, name: str
) -> None:
    """Keep the service of a stream if its route still has it."""
    configuration = deps.knowledge.configuration
    names = {share.service for share in context.route.shares}
    if configuration is None or name not in names:
        return
    context.service = configuration.services.get(name, context.service)


def _first_attempt_id(context: CallContext) -> str:
    """Return the attempt under which the origin of a stream is known."""
    call = context.call
    return call.resumed_attempt_id or call.attempt_id


def _log(
    deps: CallDependencies, context: CallContext, found: FoundOrigin
) -> None:
    origin = attrs.asdict(found.origin) if found.origin else {}
    deps.log.decide(
        'stream.resumed',
        context.call.attempt_id,
        outcome=found.source.value,
        resumes=context.call.resumed_attempt_id,
        last_event_id=context.call.last_event_id,
        took_s=found.took_s,
        asked=found.asked,
        answered=found.answered,
        listing_age_s=found.listing_age_s,
        service=context.service.name,
        version=origin.get('version'),
    )
