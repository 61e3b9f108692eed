"""All answers that are broken, and all sound ones that only look odd."""

from collections.abc import Iterator

from tests.gateway.answer_bodies import broken_bodies, sound_bodies
from tests.gateway.answer_heads import AnswerParts, broken_heads, sound_heads


def broken_answers(
    parts: AnswerParts = AnswerParts(),
) -> Iterator[tuple[str, bytes]]:
    """Yield answers, each with its kind."""
    yield from broken_heads(parts)
    yield from broken_bodies(parts)


def sound_answers(
    parts: AnswerParts = AnswerParts(),
) -> Iterator[tuple[str, bytes]]:
    """Yield answers of status 200, each with its kind."""
    yield from sound_heads(parts)
    yield from sound_bodies(parts)
