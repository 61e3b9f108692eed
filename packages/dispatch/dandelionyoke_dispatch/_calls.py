"""A call whose bytes pass unread, with the facts that decide about it."""

import attrs


@attrs.frozen
class PromptPart:
    """A piece of a prompt that other calls may share; its size in tokens."""

    part_id: str
    token_count: int


@attrs.frozen
class Prompt:
    """What a call asks of a language engine.

    `parts` are in the order of the prompt; the last one belongs to this call
    or to its session alone.
    """

    model: str
    token_count: int
    max_output_tokens: int
    parts: tuple[PromptPart, ...] = ()

    @property
    def shared_key(self) -> str:
        """Name the last part that other calls may share.

        The first part is common to most calls of a service, so that placing
        by it would send nearly all of them to one engine.
        """
        if len(self.parts) > 1:
            return self.parts[-2].part_id
        return self.parts[0].part_id if self.parts else ''

    @property
    def shared_tokens(self) -> int:
        """Add up the parts that other calls may share."""
        return sum(part.token_count for part in self.parts[:-1])


@attrs.frozen
class Call:
    """One attempt of a caller, under the id that the caller gave it."""

    attempt_id: str
    method: str
    host: str
    path: str
    api_key: str | None = attrs.field(default=None, repr=False)
    time_left_s: float | None = None
    prompt: Prompt | None = None
    last_event_id: str | None = None
