"""Scripts of targets that several tests share."""

from collections.abc import Iterator

from tests.platform.node_harness import (
    ReceivedRequest,
    Script,
    ScriptStep,
    answer,
    chunk,
    stream_head,
)

PROMPT_HEADERS = (
    'Model: m\r\nToken-Count: 900,20\r\nPrompt-Prefix: aa:500,bb:400\r\n'
)


def answers_ok(request: ReceivedRequest) -> Iterator[ScriptStep]:
    yield answer()


def answers_error(request: ReceivedRequest) -> Iterator[ScriptStep]:
    yield answer('500 Error', b'no')


def refuses_call(request: ReceivedRequest) -> Iterator[ScriptStep]:
    yield answer('503 Busy', b'', 'Not-Executed: 1\r\n')


def answers_prefill(request: ReceivedRequest) -> Iterator[ScriptStep]:
    yield answer(body=b'{"kv_handle":"h1","tokens":900,"version":1}')


def streams_token(request: ReceivedRequest) -> Iterator[ScriptStep]:
    yield stream_head()
    yield chunk(b'id: 1\ndata: t\n\n')
    yield chunk(b'')


def with_header(script: Script, header: str) -> Script:
    """Add a header to each answer of a script."""
    line_end = b'\r\n'

    def answer_request(request: ReceivedRequest) -> Iterator[ScriptStep]:
        for step in script(request):
            if isinstance(step, bytes) and step.startswith(b'HTTP/1.1 '):
                status_line, _, rest = step.partition(line_end)
                head = status_line + line_end + header.encode() + line_end
                step = head + rest
            yield step

    return answer_request


def status(content: bytes) -> int:
    return int(content.split(b' ')[1])
