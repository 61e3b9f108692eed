"""The deployments of the two users, with the sizes of the requirements."""

from dandelionyoke_core import (
    Domain,
    Organisation,
    OrganisationId,
    ServiceName,
)
from dandelionyoke_standins._policy_workload import (
    CallClass,
    Customer,
    Deployment,
    TargetGroup,
)

# Share of the demand of each organisation: a few large and some small ones.
DEMAND_SHARES = (0.3, 0.25, 0.15, 0.1, 0.08, 0.06, 0.04, 0.02)
# High enough to never apply: the scenarios measure how capacity is shared,
# not the limits.
NO_LIMIT = 1_000_000

ASSISTANT = ServiceName('route-assistant')
LEDGER = ServiceName('ledger-desk')
MODELO = ServiceName('modelo-lm')
COBROS = ServiceName('cobros-app')


def _make_customers(names: tuple[str, ...]) -> tuple[Customer, ...]:
    return tuple(
        Customer(
            Organisation(
                OrganisationId(name),
                tokens_per_s=NO_LIMIT,
                requests_per_s=NO_LIMIT,
                concurrent_requests=NO_LIMIT,
            ),
            demand_share,
        )
        for name, demand_share in zip(names, DEMAND_SHARES, strict=True)
    )


MWAKILEMA = Deployment(
    name='mwakilema',
    entries={
        Domain('kurasini'): 3,
        Domain('mikocheni'): 3,
        Domain('ubungo'): 2,
    },
    groups=(
        TargetGroup(
            ASSISTANT,
            Domain('kurasini'),
            on_demand_count=3,
            reclaimable_count=1,
        ),
        TargetGroup(
            ASSISTANT,
            Domain('mikocheni'),
            on_demand_count=2,
            reclaimable_count=1,
        ),
        TargetGroup(
            ASSISTANT, Domain('ubungo'), on_demand_count=2, reclaimable_count=1
        ),
        TargetGroup(LEDGER, Domain('kurasini'), on_demand_count=1, plain=True),
        TargetGroup(LEDGER, Domain('mikocheni'), on_demand_count=1, plain=True),
        TargetGroup(LEDGER, Domain('ubungo'), on_demand_count=1, plain=True),
    ),
    customers=_make_customers(
        (
            'dar-routes',
            'morogoro-routes',
            'kariakoo-depot',
            'temeke-depot',
            'ilala-dukas',
            'kibaha-dukas',
            'chalinze-dukas',
            'mlandizi-dukas',
        )
    ),
    classes=(
        CallClass(
            'history',
            ASSISTANT,
            prompt_tokens=3000,
            output_tokens=40,
            deadline_s=10,
            shared_tokens=2400,
            documents=60,
        ),
        CallClass(
            'van-load',
            ASSISTANT,
            prompt_tokens=700,
            output_tokens=120,
            deadline_s=10,
            shared_tokens=320,
            documents=20,
        ),
        CallClass(
            'roadside',
            ASSISTANT,
            prompt_tokens=80,
            output_tokens=200,
            deadline_s=12,
        ),
        CallClass(
            'confirm',
            LEDGER,
            prompt_tokens=0,
            output_tokens=3,
            deadline_s=3,
            requires_on_demand=True,
        ),
    ),
    reclaimable_share=0.3,
)

AFORO = Deployment(
    name='aforo',
    entries={
        Domain('limon-a'): 2,
        Domain('limon-b'): 2,
        Domain('moin-a'): 2,
        Domain('moin-b'): 2,
    },
    groups=(
        TargetGroup(
            MODELO, Domain('limon-a'), on_demand_count=2, reclaimable_count=1
        ),
        TargetGroup(
            MODELO, Domain('limon-b'), on_demand_count=2, reclaimable_count=1
        ),
        TargetGroup(MODELO, Domain('moin-a'), on_demand_count=2),
        TargetGroup(
            MODELO, Domain('moin-b'), on_demand_count=1, reclaimable_count=1
        ),
        TargetGroup(COBROS, Domain('limon-a'), on_demand_count=1, plain=True),
        TargetGroup(COBROS, Domain('limon-b'), on_demand_count=1, plain=True),
        TargetGroup(COBROS, Domain('moin-a'), on_demand_count=1, plain=True),
        TargetGroup(COBROS, Domain('moin-b'), on_demand_count=1, plain=True),
    ),
    customers=_make_customers(
        (
            'puerto-limon',
            'moin-agency',
            'caribe-tanks',
            'broker-siquirres',
            'agency-bataan',
            'agency-matina',
            'agency-cahuita',
            'agency-bribri',
        )
    ),
    classes=(
        CallClass(
            'reconciliation',
            MODELO,
            prompt_tokens=9000,
            output_tokens=500,
            deadline_s=60,
            shared_tokens=6400,
            documents=6,
        ),
        CallClass(
            'lookup',
            MODELO,
            prompt_tokens=400,
            output_tokens=60,
            deadline_s=6,
            shared_tokens=160,
            documents=10,
        ),
        CallClass(
            'question',
            MODELO,
            prompt_tokens=150,
            output_tokens=220,
            deadline_s=15,
        ),
        CallClass(
            'invoice',
            COBROS,
            prompt_tokens=0,
            output_tokens=3,
            deadline_s=3,
            requires_on_demand=True,
        ),
    ),
    reclaimable_share=0.3,
)
