"""OpenAI-compatible request parsing and response formatting."""

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
    parse_json,
)

DEFAULT_MAX_OUTPUT_TOKENS = 1024
MAX_OUTPUT_TOKENS = 131_072
SSE_DONE = b'data: [DONE]\n\n'


class InvalidBodyError(ValueError):
    """An invalid request body, with the fault and its remedy."""

    def __init__(self, detail: str, remedy: str) -> None:
        super().__init__(detail)
        self.detail = detail
        self.remedy = remedy


@attrs.frozen
class ModelRequest:
    """Validated request for a completion or a chat completion."""

    model_name: ModelName
    prompt: str
    max_output_tokens: int
    stream: bool
    include_usage: bool
    chat: bool


def parse_request(raw: bytes, *, chat: bool) -> ModelRequest:
    """Parse and validate a request body.

    Raises:
        InvalidBodyError: the body is invalid.
    """
    body = _parse_object(raw)
    _refuse_unsupported(body)
    options = body.get('stream_options') or {}
    if not isinstance(options, dict):
        raise InvalidBodyError(
            'stream_options is not an object', 'Send {"include_usage": true}'
        )
    return ModelRequest(
        ModelName(
            _required_text(body, 'model', 'Name a model of GET /v1/models')
        ),
        _parse_messages(body) if chat else _parse_prompt(body),
        _parse_max_output_tokens(body),
        _optional_flag(body, 'stream'),
        _optional_flag(options, 'include_usage'),
        chat,
    )


def completion_body(
    request_id: RequestId,
    request: ModelRequest,
    tokens: Sequence[str],
    end: FinishCall,
) -> bytes:
    """Encode a response that is not streamed."""
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
    completion = _response_object(request_id, request, [choice], streamed=False)
    completion['usage'] = _usage(end)
    return json.dumps(completion).encode()


def token_chunk(
    request_id: RequestId, request: ModelRequest, tokens: Sequence[str]
) -> bytes:
    """Encode one SSE event with output tokens."""
    text = ''.join(tokens)
    return _sse_event(request_id, request, [_chunk_choice(request, text, None)])


def final_chunks(
    request_id: RequestId, request: ModelRequest, end: FinishCall
) -> bytes:
    """Encode the SSE events that end a complete stream."""
    events = _sse_event(
        request_id, request, [_chunk_choice(request, '', end.end_reason)]
    )
    if request.include_usage:
        events += _sse_event(request_id, request, [], _usage(end))
    return events + SSE_DONE


def error_chunk(error: Mapping[str, str]) -> bytes:
    """Encode the SSE event with the error that ends a stream early."""
    return b'data: ' + json.dumps({'error': dict(error)}).encode() + b'\n\n'


def model_list(models: Sequence[Model]) -> bytes:
    """Encode the list of models."""
    entries = [
        {
            'id': model.model_name,
            'object': 'model',
            'created': 0,
            'owned_by': model.service_name,
        }
        for model in models
    ]
    return json.dumps({'object': 'list', 'data': entries}).encode()


def _parse_object(raw: bytes) -> Mapping[str, Any]:
    try:
        body = parse_json(raw.decode())
    except ValueError as error:
        raise InvalidBodyError(
            'The body is not JSON in UTF-8', 'Send a JSON object'
        ) from error
    if not isinstance(body, dict):
        raise InvalidBodyError(
            'The body is no JSON object', 'Send a JSON object'
        )
    return body


def _refuse_unsupported(body: Mapping[str, Any]) -> None:
    """Reject unsupported options that would change the response format."""
    if body.get('n') not in {None, 1} or body.get('best_of') not in {None, 1}:
        raise InvalidBodyError(
            'n and best_of above 1 are not served', 'Send n = 1'
        )
    for option in ('tools', 'functions', 'logprobs', 'response_format'):
        if body.get(option):
            raise InvalidBodyError(
                f'{option} is not served', f'Leave {option} out'
            )


def _required_text(body: Mapping[str, Any], option: str, remedy: str) -> str:
    value = body.get(option)
    if not isinstance(value, str) or not value:
        raise InvalidBodyError(f'{option} is missing or not a text', remedy)
    return value


def _optional_flag(body: Mapping[str, Any], option: str) -> bool:
    value = body.get(option)
    if value is not None and not isinstance(value, bool):
        raise InvalidBodyError(
            f'{option} is not true or false', f'Mend {option}'
        )
    return bool(value)


def _parse_prompt(body: Mapping[str, Any]) -> str:
    prompt = body.get('prompt')
    if isinstance(prompt, list) and len(prompt) == 1:
        prompt = prompt[0]
    if not isinstance(prompt, str):
        raise InvalidBodyError(
            'prompt is missing or not one text',
            'Send prompt as a string',
        )
    return prompt


def _parse_messages(body: Mapping[str, Any]) -> str:
    messages = body.get('messages')
    if not isinstance(messages, list) or not messages:
        raise InvalidBodyError(
            'messages is missing or empty',
            'Send a list of {"role", "content"} objects',
        )
    return chat_prompt([_parse_message(message) for message in messages])


def _parse_message(message: Any) -> ChatMessage:
    remedy = 'Send each message as {"role": text, "content": text}'
    if not isinstance(message, dict):
        raise InvalidBodyError('A message is no object', remedy)
    content = message.get('content')
    if isinstance(content, list):
        content = ''.join(_parse_content_part(part, remedy) for part in content)
    if not isinstance(content, str):
        raise InvalidBodyError('The content of a message is not a text', remedy)
    return ChatMessage(_required_text(message, 'role', remedy), content)


def _parse_content_part(part: Any, remedy: str) -> str:
    if not isinstance(part, dict) or part.get('type') != 'text':
        raise InvalidBodyError('Only text parts are served', remedy)
    return _required_text(part, 'text', remedy)


def _parse_max_output_tokens(body: Mapping[str, Any]) -> int:
    value = body.get('max_completion_tokens')
    if value is None:
        value = body.get('max_tokens')
    if value is None:
        return DEFAULT_MAX_OUTPUT_TOKENS
    is_integer = isinstance(value, int) and not isinstance(value, bool)
    if not is_integer or not 1 <= value <= MAX_OUTPUT_TOKENS:
        raise InvalidBodyError(
            'max_tokens is out of range',
            f'Send a whole number from 1 to {MAX_OUTPUT_TOKENS}',
        )
    return int(value)


def _usage(end: FinishCall) -> dict[str, int]:
    return {
        'prompt_tokens': end.prompt_tokens,
        'completion_tokens': end.output_tokens,
        'total_tokens': end.prompt_tokens + end.output_tokens,
    }


def _response_object(
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


def _sse_event(
    request_id: RequestId,
    request: ModelRequest,
    choices: list[dict[str, Any]],
    usage: dict[str, int] | None = None,
) -> bytes:
    chunk = _response_object(request_id, request, choices, streamed=True)
    if usage is not None:
        chunk['usage'] = usage
    return b'data: ' + json.dumps(chunk).encode() + b'\n\n'
