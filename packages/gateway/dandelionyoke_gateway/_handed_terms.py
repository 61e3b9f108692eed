"""What a handed call keeps of the configuration that admitted it.

The other node may have another version of the configuration. It keeps what
was granted to the caller, as the node that admitted the call would have.
"""

from dandelionyoke_dispatch import (
    FleetConfiguration,
    Organisation,
    Route,
    Service,
    ServiceShare,
)
from dandelionyoke_gateway._call_context import CallContext
from dandelionyoke_gateway._clock import clock_s
from dandelionyoke_gateway._handover_messages import CallTerms

ROUTE_NAME = 'handed'


def terms_of(context: CallContext) -> CallTerms:
    """Return the terms of a call that is handed over now."""
    route, organisation = context.route, context.organisation
    return CallTerms(
        route.kind,
        context.deadline_s - clock_s(),
        route.goal_s,
        route.longest_pause_s,
        route.priority,
        route.is_resumable,
        None if organisation is None else organisation.name,
        None if organisation is None else organisation.priority,
        context.key_age_s,
    )


def route_of(terms: CallTerms, service: str, max_attempts: int) -> Route:
    """Return a route that grants the terms of a call, and only them."""
    return Route(
        name=ROUTE_NAME,
        host='',
        path_prefix='',
        kind=terms.kind,
        timeout_s=terms.time_left_s,
        goal_s=terms.goal_s,
        priority=terms.priority,
        shares=(ServiceShare(service, 1),),
        max_attempts=max_attempts,
        is_resumable=terms.is_resumable,
        longest_pause_s=terms.longest_pause_s,
    )


def organisation_of(terms: CallTerms) -> Organisation | None:
    """Return the organisation of a call; its limit was charged before."""
    if terms.organisation is None:
        return None
    return Organisation(terms.organisation, terms.organisation_priority)


def service_of(configuration: FleetConfiguration, name: str) -> Service:
    """Return the service of a call, also one that has left meanwhile."""
    return configuration.services.get(name) or Service(name, 0)
