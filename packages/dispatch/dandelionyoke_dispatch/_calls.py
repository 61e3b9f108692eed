"""Calls and prompts, reduced to the facts that routing needs."""

import attrs


@attrs.frozen
class PromptPart:
    """A part of a prompt, with its size in tokens, that calls may share."""

    part_id: str
    token_count: int


@attrs.frozen
class Prompt:
    """The request of a call to a language engine.

    `parts` are in prompt order. The last part is private to this call or its
    session.
    """

    model: str
    token_count: int
    max_output_tokens: int
    parts: tuple[PromptPart, ...] = ()

    @property
    def shared_key(self) -> str:
        """The id of the longest shared prefix, used to choose an engine.

        It is the id of the last part that other calls may share. The first part
        is common to most calls of a service, so using it would send nearly all
        of them to one engine.
        """
        if len(self.parts) > 1:
            return self.parts[-2].part_id
        return self.parts[0].part_id if self.parts else ''

    @property
    def shared_tokens(self) -> int:
        """The number of tokens in the shared prefix."""
        return sum(part.token_count for part in self.parts[:-1])


@attrs.frozen
class Call:
    """One attempt of a caller, under the attempt id that the caller chose.

    `resumed_attempt_id` is the attempt that brought the first event of the
    stream that this one takes up, if any.
    """

    attempt_id: str
    method: str
    host: str
    path: str
    api_key: str | None = attrs.field(default=None, repr=False)
    time_left_s: float | None = None
    prompt: Prompt | None = None
    last_event_id: str | None = None
    resumed_attempt_id: str | None = None
