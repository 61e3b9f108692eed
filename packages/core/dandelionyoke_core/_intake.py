"""Validation of new calls before they are offered to admission."""

import hashlib

import attrs

from dandelionyoke_core._call import Call
from dandelionyoke_core._call_refusals import (
    context_exceeded,
    idempotency_key_required,
    unknown_model,
    unknown_service,
)
from dandelionyoke_core._entities import ServiceKind
from dandelionyoke_core._events import CompletionRequested, ServiceCallRequested
from dandelionyoke_core._names import ModelName, OrganisationId
from dandelionyoke_core._ports import (
    Authenticator,
    ConfigurationView,
    Identity,
    Quarantine,
    RouteRequirements,
    Ticket,
)
from dandelionyoke_core._refusals import Refusal
from dandelionyoke_core._request_settings import RequestSettings
from dandelionyoke_core._tokens import prefix_blocks, split_tokens
from dandelionyoke_core._unrepeatable import is_unrepeatable

PreparedCall = tuple[Call, Ticket]


class Intake:
    """Authenticate and validate new calls and derive their requirements."""

    def __init__(
        self,
        settings: RequestSettings,
        configuration_view: ConfigurationView,
        authenticator: Authenticator,
        quarantine: Quarantine,
    ) -> None:
        self._settings = settings
        self._configuration_view = configuration_view
        self._authenticator = authenticator
        self._quarantine = quarantine

    def prepare(
        self, event: CompletionRequested | ServiceCallRequested, now_s: float
    ) -> PreparedCall | Refusal:
        """Prepare a new call for admission, or refuse it."""
        identity = self._authenticator.authenticate(event.bearer_key, now_s)
        if isinstance(identity, Refusal):
            return identity
        # The key must not reach targets or logs, so it is removed here.
        event = attrs.evolve(event, bearer_key='')
        if isinstance(event, CompletionRequested):
            return self._prepare_model_call(event, identity, now_s)
        return self._prepare_service_call(event, identity, now_s)

    def _prepare_model_call(
        self, event: CompletionRequested, identity: Identity, now_s: float
    ) -> PreparedCall | Refusal:
        model = self._configuration_view.snapshot.models.get(event.model_name)
        if model is None:
            return unknown_model(event.model_name)
        organisation_id = identity.organisation.organisation_id
        request_fingerprint = fingerprint(
            organisation_id, event.model_name, event.prompt
        )
        refusal = self._quarantine.refusal(request_fingerprint, now_s)
        if refusal is not None and refusal.retry_after_s is None:
            return refusal
        tokens = split_tokens(event.prompt)
        if len(tokens) + event.max_output_tokens > model.context_tokens:
            return context_exceeded(len(tokens), event.max_output_tokens, model)
        deadline_s = self._deadline_s(event, now_s)
        requirements = RouteRequirements(
            organisation_id,
            model.service_name,
            model.model_name,
            prefix_blocks(tokens),
            len(tokens),
            event.max_output_tokens,
            on_demand_only=len(tokens) >= self._settings.steady_prompt_tokens,
            deadline_s=deadline_s,
        )
        call = Call(
            event,
            identity,
            requirements,
            now_s,
            deadline_s,
            request_fingerprint,
        )
        return call, _ticket(call)

    def _prepare_service_call(
        self, event: ServiceCallRequested, identity: Identity, now_s: float
    ) -> PreparedCall | Refusal:
        service = self._configuration_view.snapshot.services.get(
            event.service_name
        )
        if service is None or service.kind is not ServiceKind.PLAIN:
            return unknown_service(event.service_name)
        unrepeatable = is_unrepeatable(service, event.method, event.path)
        if unrepeatable and not event.idempotency_key:
            return idempotency_key_required(event)
        deadline_s = self._deadline_s(event, now_s)
        requirements = RouteRequirements(
            identity.organisation.organisation_id,
            service.service_name,
            prompt_tokens=self._settings.service_call_tokens,
            on_demand_only=unrepeatable,
            deadline_s=deadline_s,
        )
        call = Call(
            event,
            identity,
            requirements,
            now_s,
            deadline_s,
            unrepeatable=unrepeatable,
        )
        return call, _ticket(call)

    def _deadline_s(
        self, event: CompletionRequested | ServiceCallRequested, now_s: float
    ) -> float:
        if event.deadline_in_s is None:
            return now_s + self._settings.default_deadline_s
        return now_s + event.deadline_in_s


def fingerprint(
    organisation_id: OrganisationId, model_name: ModelName, prompt: str
) -> str:
    """Hash the input of a model call, to recognise repeated requests."""
    digest = hashlib.sha256()
    for part in (organisation_id, model_name, prompt):
        encoded = part.encode()
        digest.update(len(encoded).to_bytes(8) + encoded)
    return digest.hexdigest()


def _ticket(call: Call) -> Ticket:
    return Ticket(
        call.request_id,
        call.identity.organisation,
        call.requirements.service,
        call.requirements.prompt_tokens,
        call.requirements.max_output_tokens,
        call.arrived_s,
        call.deadline_s,
    )
