"""The OpenAI-compatible shapes of requests and answers."""

import json
import time
from collections.abc import Mapping, Sequence
from typing import Any

import attrs

from dandelionyoke_core import (
    ChatMessage,
    FinishCall,
    Model,
    ModelName,
    RequestId,
    chat_prompt,
)

DEFAULT_MAX_OUTPUT_TOKENS = 1024
MAX_OUTPUT_TOKENS = 131_072
DONE = b'data: [DONE]\n\n'


class BodyError(ValueError):
    """A request body is wrong; the text names what and the remedy."""

    def __init__(self, detail: str, remedy: str) -> None:
        super().__init__(detail)
        self.detail = detail
        self.remedy = remedy


@attrs.frozen
class ModelRequest:
    """What a caller asked of a model, checked."""

    model_name: ModelName
    prompt: str
    max_output_tokens: int
    stream: bool
    include_usage: bool
    chat: bool


def parse_request(raw: bytes, *, chat: bool) -> ModelRequest:
    """Check a request body.

    Raises:
        BodyError: the body is wrong.
    """
    body = _object(raw)
    _refuse_unsupported(body)
    options = body.get('stream_options') or {}
    if not isinstance(options, dict):
        raise BodyError(
            'stream_options is not an object', 'Send {"include_usage": true}'
        )
    return ModelRequest(
        ModelName(_text(body, 'model', 'Name a model of GET /v1/models')),
        _chat(body) if chat else _prompt(body),
        _max_output_tokens(body),
        _flag(body, 'stream'),
        _flag(options, 'include_usage'),
        chat,
    )


def whole_answer(
    request_id: RequestId,
    request: ModelRequest,
    tokens: Sequence[str],
    end: FinishCall,
) -> bytes:
    """Write an answer that is not streamed."""
    text = ''.join(tokens)
    choice: dict[str, Any] = {
        'index': 0,
        'finish_reason': end.end_reason,
        'logprobs': None,
    }
    if request.chat:
        choice['message'] = {'role': 'assistant', 'content': text}
    else:
        choice['text'] = text
    answer = _envelope(request_id, request, [choice], streamed=False)
    answer['usage'] = _usage(end)
    return json.dumps(answer).encode()


def token_chunk(
    request_id: RequestId, request: ModelRequest, tokens: Sequence[str]
) -> bytes:
    """Write one SSE event with output."""
    text = ''.join(tokens)
    return _sse(request_id, request, [_chunk_choice(request, text, None)])


def end_chunks(
    request_id: RequestId, request: ModelRequest, end: FinishCall
) -> bytes:
    """Write the SSE events that close a whole answer."""
    closing = _sse(
        request_id, request, [_chunk_choice(request, '', end.end_reason)]
    )
    if request.include_usage:
        closing += _sse(request_id, request, [], _usage(end))
    return closing + DONE


def error_chunk(error: Mapping[str, str]) -> bytes:
    """Write the SSE event that says why a stream ends early."""
    return b'data: ' + json.dumps({'error': dict(error)}).encode() + b'\n\n'


def model_list(models: Sequence[Model]) -> bytes:
    """Write the list of models."""
    listed = [
        {
            'id': model.model_name,
            'object': 'model',
            'created': 0,
            'owned_by': model.service_name,
        }
        for model in models
    ]
    return json.dumps({'object': 'list', 'data': listed}).encode()


def _object(raw: bytes) -> Mapping[str, Any]:
    try:
        body = json.loads(raw.decode())
    except (ValueError, RecursionError) as bad:
        raise BodyError(
            'The body is not JSON in UTF-8', 'Send a JSON object'
        ) from bad
    if not isinstance(body, dict):
        raise BodyError('The body is no JSON object', 'Send a JSON object')
    return body


def _refuse_unsupported(body: Mapping[str, Any]) -> None:
    """Refuse what would change the answer's shape and is not carried."""
    if body.get('n') not in {None, 1} or body.get('best_of') not in {None, 1}:
        raise BodyError('n and best_of above 1 are not served', 'Send n = 1')
    for option in ('tools', 'functions', 'logprobs', 'response_format'):
        if body.get(option):
            raise BodyError(f'{option} is not served', f'Leave {option} out')


def _text(body: Mapping[str, Any], option: str, remedy: str) -> str:
    found = body.get(option)
    if not isinstance(found, str) or not found:
        raise BodyError(f'{option} is missing or not a text', remedy)
    return found


def _flag(body: Mapping[str, Any], option: str) -> bool:
    found = body.get(option)
    if found is not None and not isinstance(found, bool):
        raise BodyError(f'{option} is not true or false', f'Mend {option}')
    return bool(found)


def _prompt(body: Mapping[str, Any]) -> str:
    found = body.get('prompt')
    if isinstance(found, list) and len(found) == 1:
        found = found[0]
    if not isinstance(found, str):
        raise BodyError(
            'prompt is missing or not one text', 'Send prompt as a string'
        )
    return found


def _chat(body: Mapping[str, Any]) -> str:
    found = body.get('messages')
    if not isinstance(found, list) or not found:
        raise BodyError(
            'messages is missing or empty',
            'Send a list of {"role", "content"} objects',
        )
    return chat_prompt([_message(message) for message in found])


def _message(found: Any) -> ChatMessage:
    remedy = 'Send each message as {"role": text, "content": text}'
    if not isinstance(found, dict):
        raise BodyError('A message is no object', remedy)
    content = found.get('content')
    if isinstance(content, list):
        content = ''.join(_part(part, remedy) for part in content)
    if not isinstance(content, str):
        raise BodyError('The content of a message is not a text', remedy)
    return ChatMessage(_text(found, 'role', remedy), content)


def _part(found: Any, remedy: str) -> str:
    if not isinstance(found, dict) or found.get('type') != 'text':
        raise BodyError('Only text parts are served', remedy)
    return _text(found, 'text', remedy)


def _max_output_tokens(body: Mapping[str, Any]) -> int:
    found = body.get('max_completion_tokens')
    if found is None:
        found = body.get('max_tokens')
    if found is None:
        return DEFAULT_MAX_OUTPUT_TOKENS
    whole = isinstance(found, int) and not isinstance(found, bool)
    if not whole or not 1 <= found <= MAX_OUTPUT_TOKENS:
        raise BodyError(
            'max_tokens is out of range',
            f'Send a whole number from 1 to {MAX_OUTPUT_TOKENS}',
        )
    return int(found)


def _usage(end: FinishCall) -> dict[str, int]:
    return {
        'prompt_tokens': end.prompt_tokens,
        'completion_tokens': end.output_tokens,
        'total_tokens': end.prompt_tokens + end.output_tokens,
    }


def _envelope(
    request_id: RequestId,
    request: ModelRequest,
    choices: list[dict[str, Any]],
    *,
    streamed: bool,
) -> dict[str, Any]:
    kind = 'chat.completion' if request.chat else 'text_completion'
    if streamed and request.chat:
        kind = 'chat.completion.chunk'
    return {
        'id': request_id,
        'object': kind,
        'created': int(time.time()),
        'model': request.model_name,
        'choices': choices,
    }


def _chunk_choice(
    request: ModelRequest, text: str, end_reason: str | None
) -> dict[str, Any]:
    choice: dict[str, Any] = {'index': 0, 'finish_reason': end_reason}
    if request.chat:
        choice['delta'] = {'role': 'assistant', 'content': text} if text else {}
    else:
        choice['text'] = text
    return choice


def _sse(
    request_id: RequestId,
    request: ModelRequest,
    choices: list[dict[str, Any]],
    usage: dict[str, int] | None = None,
) -> bytes:
    chunk = _envelope(request_id, request, choices, streamed=True)
    if usage is not None:
        chunk['usage'] = usage
    return b'data: ' + json.dumps(chunk).encode() + b'\n\n'
