"""Conversion of chat messages to a single prompt."""

from collections.abc import Iterable

import attrs


@attrs.frozen
class ChatMessage:
    """One message of a chat."""

    role: str
    content: str


def chat_prompt(messages: Iterable[ChatMessage]) -> str:
    """Format messages as `role: content` lines, ending with `assistant:`."""
    lines = [f'{message.role}: {message.content}' for message in messages]
    return '\n'.join((*lines, 'assistant:'))
