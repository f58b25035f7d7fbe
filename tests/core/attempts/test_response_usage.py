"""Token usage in the responses of engines."""

from __future__ import annotations

import msgspec
import pytest

from dogwoodpost.core.attempts.response_usage import ResponseUsage

REPORT = {
    'usage': {
        'prompt_tokens': 7,
        'completion_tokens': 5,
        'prompt_tokens_details': {'cached_tokens': 4},
    },
    'weight_segments': [
        {'weight_version': 3, 'token_count': 2},
        {'weight_version': 4, 'token_count': 3},
    ],
}
JSON = msgspec.json.encode({'choices': [], **REPORT})
STREAM = (
    b'data: {"choices":[{"text":"\\"usage\\" {"}]}\n\n'
    b'data: ' + JSON + b'\r\n\r\ndata: [DONE]\n\n'
)
FULL = ((3, 4), 7, 4, 5)
NONE = ((), 0, 0, 0)


@pytest.mark.parametrize('step', [1, 7, 10_000])
@pytest.mark.parametrize(
    ('is_stream', 'body', 'expected'),
    [
        (False, JSON, FULL),
        (False, b'{"usage": 3}', NONE),
        (False, JSON + b' ' * 1_000, NONE),
        (False, b'\xff', NONE),
        (True, STREAM, FULL),
        (True, b'data: {"usage": }\n\ndata: [DONE]\n', NONE),
        (True, b'event: x\n: comment\n\n', NONE),
    ],
)
def test_usage_is_read_from_chunks_of_any_size(
    step: int, is_stream: bool, body: bytes, expected: tuple[object, ...]
) -> None:
    """Guards against wrong billing after incomplete or malformed reports."""
    usage = ResponseUsage(is_stream=is_stream, max_body_bytes=900)
    for begin in range(0, len(body), step):
        usage.feed(body[begin : begin + step])
    assert tuple(usage.fields().values()) == expected
    assert usage.done_event_received == (b'[DONE]' in body)
