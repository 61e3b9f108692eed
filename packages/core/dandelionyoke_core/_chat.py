"""A chat as the one prompt that an engine gets."""

from collections.abc import Iterable

import attrs


@attrs.frozen
class ChatMessage:
    """One message of a chat."""

    role: str
    content: str


def chat_prompt(messages: Iterable[ChatMessage]) -> str:
    """Write a chat as `role: content` lines and the assistant's turn."""
    lines = [f'{message.role}: {message.content}' for message in messages]
    return '\n'.join((*lines, 'assistant:'))
