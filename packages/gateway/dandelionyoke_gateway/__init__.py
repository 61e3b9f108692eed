"""Gateway that forwards calls to targets without parsing their bodies."""

from dandelionyoke_gateway._clock import (
    clock_s as clock_s,
)
from dandelionyoke_gateway._errors import (
    AddressError as AddressError,
    ExchangeError as ExchangeError,
)
from dandelionyoke_gateway._json_call import (
    CallLimits as CallLimits,
    JsonReply as JsonReply,
    call_json as call_json,
)
from dandelionyoke_gateway._json_fields import (
    FieldError as FieldError,
    Fields as Fields,
    get_address as get_address,
    get_flag as get_flag,
    get_int as get_int,
    get_number as get_number,
    get_numbers as get_numbers,
    get_objects as get_objects,
    get_text as get_text,
    get_texts as get_texts,
    parse_items as parse_items,
    parse_object as parse_object,
    parse_part as parse_part,
)
from dandelionyoke_gateway._load_text import parse_load as parse_load
from dandelionyoke_gateway._log import (
    DescriptorSink as DescriptorSink,
    LineSink as LineSink,
)
from dandelionyoke_gateway._messages import (
    HeaderList as HeaderList,
    RequestHead as RequestHead,
    ResponseHead as ResponseHead,
    parse_decimal as parse_decimal,
    parse_whole_number as parse_whole_number,
    parse_whole_numbers as parse_whole_numbers,
    strip_hop_by_hop_headers as strip_hop_by_hop_headers,
    utf8_header as utf8_header,
)
from dandelionyoke_gateway._ports import (
    CacheSource as CacheSource,
    Dialect as Dialect,
    DutyCallResult as DutyCallResult,
    DutyClient as DutyClient,
    DutyOutcome as DutyOutcome,
    EngineClient as EngineClient,
    EngineReport as EngineReport,
    FactsListener as FactsListener,
    FencingStamp as FencingStamp,
    Forwarding as Forwarding,
    PhaseOrder as PhaseOrder,
    ResponseFacts as ResponseFacts,
    Store as Store,
    TargetCountOrder as TargetCountOrder,
)
from dandelionyoke_gateway._process import (
    Adapters as Adapters,
    Gateway as Gateway,
)
from dandelionyoke_gateway._settings import (
    GatewaySettings as GatewaySettings,
    read_settings as read_settings,
)
from dandelionyoke_gateway._status import (
    ExitStatus as ExitStatus,
)
from dandelionyoke_gateway._store_exchange import (
    StoreCall as StoreCall,
    StoreEndpoint as StoreEndpoint,
    StoreExchange as StoreExchange,
)
from dandelionyoke_gateway._target_pool import (
    TargetPool as TargetPool,
)
