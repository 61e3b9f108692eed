"""What of its machine a process lets its clients use."""

import attrs

from dandelionyoke_links._body_reader import DecodeTurns
from dandelionyoke_links._connection_slots import ConnectionSlots
from dandelionyoke_links._memory_budget import MemoryBudget

BYTES_PER_MB = 1_048_576
# Shares of the memory of the machine. The rest is for the process itself.
SMALL_REQUESTS_SHARE = 0.1
LARGE_REQUESTS_SHARE = 0.15
SMALL_ANSWERS_SHARE = 0.1
LARGE_ANSWERS_SHARE = 0.1
CONNECTIONS_SHARE = 0.12
# A request or an answer that holds no more than this counts as small.
SMALL_REQUEST_BYTES = 65536
SMALL_ANSWER_BYTES = 65536
# What a connection holds, with the head of its next request.
CONNECTION_BYTES = 40_960
# What a request in progress holds besides its head and body.
REQUEST_BYTES = 32_768
# What a header holds besides its bytes, and how often these are held.
HEADER_BYTES = 512
HEADER_COPIES = 3
# Descriptors for the store, other nodes, health checks and files.
RESERVED_DESCRIPTORS = 64
# A request in progress holds a descriptor of its target as well.
DESCRIPTORS_PER_CLIENT = 2


@attrs.frozen
class MachineLimits:
    """The memory and the descriptors that this process may use."""

    memory_mb: float
    max_descriptors: int

    @property
    def memory_bytes(self) -> float:
        """The memory in bytes."""
        return self.memory_mb * BYTES_PER_MB

    @property
    def max_connections(self) -> int:
        """How many connections clients may keep open."""
        by_memory = self.memory_bytes * CONNECTIONS_SHARE / CONNECTION_BYTES
        by_descriptors = (
            self.max_descriptors - RESERVED_DESCRIPTORS
        ) / DESCRIPTORS_PER_CLIENT
        return max(1, int(min(by_memory, by_descriptors)))


def _new_request_budget(resources: 'ClientResources') -> MemoryBudget:
    memory_bytes = resources.machine.memory_bytes
    return MemoryBudget(
        memory_bytes * LARGE_REQUESTS_SHARE,
        memory_bytes * SMALL_REQUESTS_SHARE,
        SMALL_REQUEST_BYTES,
    )


def _new_answer_budget(resources: 'ClientResources') -> MemoryBudget:
    memory_bytes = resources.machine.memory_bytes
    return MemoryBudget(
        memory_bytes * LARGE_ANSWERS_SHARE,
        memory_bytes * SMALL_ANSWERS_SHARE,
        SMALL_ANSWER_BYTES,
    )


def _new_connection_slots(resources: 'ClientResources') -> ConnectionSlots:
    return ConnectionSlots(resources.machine.max_connections)


@attrs.frozen
class ClientResources:
    """What the connections of clients of a process use together.

    `requests` is the memory of requests, `answers` that of answers that are
    held as a whole.
    """

    machine: MachineLimits
    requests: MemoryBudget = attrs.field(
        default=attrs.Factory(_new_request_budget, takes_self=True)
    )
    answers: MemoryBudget = attrs.field(
        default=attrs.Factory(_new_answer_budget, takes_self=True)
    )
    connections: ConnectionSlots = attrs.field(
        default=attrs.Factory(_new_connection_slots, takes_self=True)
    )
    turns: DecodeTurns = attrs.field(factory=DecodeTurns)


def request_bytes(header_count: int, head_bytes: int) -> int:
    """Return the memory of a request whose body is empty."""
    return (
        REQUEST_BYTES + header_count * HEADER_BYTES + head_bytes * HEADER_COPIES
    )
