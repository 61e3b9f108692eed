"""What callers, targets and the operator saw during a soak."""

import attrs

CONFIRM = '/confirm/'
LOOK = '/look/'
ASK = '/ask/'
RESUME = '/resume/'
KINDS = (CONFIRM, LOOK, ASK, RESUME)


@attrs.define
class CallerCall:
    """One attempt of a caller, and what it got.

    `status` is None where no answer came; `is_whole` says that the answer was
    framed to its end; `is_closed` that the connection ended before that.
    """

    attempt_id: str
    path: str
    organisation: str
    node: str
    sent_s: float
    ended_s: float = 0.0
    status: int | None = None
    attempt_told: str = ''
    is_signed: bool = False
    body: bytes = b''
    is_whole: bool = False
    retry_after: str = ''

    @property
    def is_stream(self) -> bool:
        """Whether a stream was asked for."""
        return self.path in {ASK, RESUME}


@attrs.frozen
class Run:
    """A target began to run an attempt."""

    attempt_id: str
    target_id: str
    organisation: str
    had_key: bool
    at_s: float
    first_event: int = 1


@attrs.frozen
class Span:
    """Trouble of one kind, on one node or on all, and when."""

    kind: str
    where: str
    from_s: float
    until_s: float

    def touches(self, from_s: float, until_s: float, where: str = '') -> bool:
        """Whether it overlaps a time, on a node or anywhere."""
        is_there = not where or self.where in {'', where}
        return is_there and self.from_s < until_s and from_s < self.until_s


@attrs.frozen
class UsageReport:
    """A usage report as the platform took it."""

    at_s: float
    holder: str
    fence: int
    window_id: int
    counts: tuple[tuple[str, int], ...]


@attrs.define
class SoakRecord:
    """All that was seen."""

    calls: list[CallerCall] = attrs.field(factory=list)
    runs: list[Run] = attrs.field(factory=list)
    spans: list[Span] = attrs.field(factory=list)
    usage: list[UsageReport] = attrs.field(factory=list)
    # When the store took the withdrawal of an organisation's key, and when
    # the organisation got another one.
    withdrawn: dict[str, tuple[float, float]] = attrs.field(factory=dict)
    # When a target said in the registry that it leaves.
    leaving: dict[str, float] = attrs.field(factory=dict)
    # Nodes that were not served again in time after all trouble had ended.
    unrecovered: list[str] = attrs.field(factory=list)
    exits: list[str] = attrs.field(factory=list)
