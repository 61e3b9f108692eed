"""What a call needs before it is offered to admission."""

import hashlib

import attrs

from dandelionyoke_core._call import Call
from dandelionyoke_core._call_refusals import (
    key_required,
    too_long,
    unknown_model,
    unknown_service,
)
from dandelionyoke_core._entities import ServiceKind
from dandelionyoke_core._events import ModelCalled, ServiceCalled
from dandelionyoke_core._names import ModelName, OrganisationId
from dandelionyoke_core._ports import (
    Authenticator,
    Directory,
    Identity,
    Quarantine,
    RouteNeed,
    Ticket,
)
from dandelionyoke_core._refusals import Refusal
from dandelionyoke_core._request_settings import RequestSettings
from dandelionyoke_core._tokens import prefix_blocks, split_tokens
from dandelionyoke_core._unrepeatable import is_unrepeatable

Intent = tuple[Call, Ticket]


class Intake:
    """Checks a new call and says what it needs."""

    def __init__(
        self,
        settings: RequestSettings,
        directory: Directory,
        authenticator: Authenticator,
        quarantine: Quarantine,
    ) -> None:
        self._settings = settings
        self._directory = directory
        self._authenticator = authenticator
        self._quarantine = quarantine

    def take(
        self, event: ModelCalled | ServiceCalled, now_s: float
    ) -> Intent | Refusal:
        """Turn an arriving call into one to be offered, or refuse it."""
        identity = self._authenticator.authenticate(event.bearer_key, now_s)
        if isinstance(identity, Refusal):
            return identity
        # Targets and logs must never see the key, so it ends here.
        event = attrs.evolve(event, bearer_key='')
        if isinstance(event, ModelCalled):
            return self._model_call(event, identity, now_s)
        return self._service_call(event, identity, now_s)

    def _model_call(
        self, event: ModelCalled, identity: Identity, now_s: float
    ) -> Intent | Refusal:
        model = self._directory.snapshot.models.get(event.model_name)
        if model is None:
            return unknown_model(event.model_name)
        organisation_id = identity.organisation.organisation_id
        print_of = fingerprint(organisation_id, event.model_name, event.prompt)
        refusal = self._quarantine.refusal(print_of, now_s)
        if refusal is not None and refusal.retry_after_s is None:
            return refusal
        tokens = split_tokens(event.prompt)
        if len(tokens) + event.max_output_tokens > model.context_tokens:
            return too_long(len(tokens), event.max_output_tokens, model)
        deadline_s = self._deadline_s(event, now_s)
        need = RouteNeed(
            organisation_id,
            model.service_name,
            model.model_name,
            prefix_blocks(tokens),
            len(tokens),
            event.max_output_tokens,
            steady=len(tokens) >= self._settings.steady_prompt_tokens,
            deadline_s=deadline_s,
        )
        call = Call(event, identity, need, now_s, deadline_s, print_of)
        return call, _ticket(call)

    def _service_call(
        self, event: ServiceCalled, identity: Identity, now_s: float
    ) -> Intent | Refusal:
        service = self._directory.snapshot.services.get(event.service_name)
        if service is None or service.kind is not ServiceKind.PLAIN:
            return unknown_service(event.service_name)
        unrepeatable = is_unrepeatable(service, event.method, event.path)
        if unrepeatable and not event.idempotency_key:
            return key_required(event)
        deadline_s = self._deadline_s(event, now_s)
        need = RouteNeed(
            identity.organisation.organisation_id,
            service.service_name,
            prompt_tokens=self._settings.service_call_tokens,
            steady=unrepeatable,
            deadline_s=deadline_s,
        )
        call = Call(
            event,
            identity,
            need,
            now_s,
            deadline_s,
            unrepeatable=unrepeatable,
        )
        return call, _ticket(call)

    def _deadline_s(
        self, event: ModelCalled | ServiceCalled, now_s: float
    ) -> float:
        if event.deadline_in_s is None:
            return now_s + self._settings.default_deadline_s
        return now_s + event.deadline_in_s


def fingerprint(
    organisation_id: OrganisationId, model_name: ModelName, prompt: str
) -> str:
    """Name a request by what an engine would be given."""
    digest = hashlib.sha256()
    for piece in (organisation_id, model_name, prompt):
        encoded = piece.encode()
        digest.update(len(encoded).to_bytes(8) + encoded)
    return digest.hexdigest()


def _ticket(call: Call) -> Ticket:
    return Ticket(
        call.request_id,
        call.identity.organisation,
        call.need.service,
        call.need.prompt_tokens,
        call.need.max_output_tokens,
        call.arrived_s,
        call.deadline_s,
    )
