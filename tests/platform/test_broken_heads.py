"""Responses of endpoints that break off at each of their bytes."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import pytest
import structlog.testing

from dogwoodpost.errors import EndpointError
from tests.fakes.pipeline import endpoint
from tests.platform.opened_gateway import endpoint_call
from tests.platform.opened_gateway import opened_gateway
from tests.platform.raw_client import raw_call
from tests.platform.raw_endpoint import raw_endpoint

if TYPE_CHECKING:
    from tests.platform.platform_site import Site
    from tests.platform.raw_endpoint import RawRequest
    from tests.platform.raw_endpoint import RawResponse

# Bytes of an endpoint that must not reach an error or a log line.
MARK = 'upstream'
HEADS = {
    'length': (f'X-Id: {MARK}\r\nContent-Length: 9\r\n\r\n', 'all of it'),
    'chunked': (
        f'X-Id: {MARK}\r\nTransfer-Encoding: chunked\r\n\r\n',
        '9\r\nall of it\r\n0\r\n\r\n',
    ),
    'stream': (
        f'X-Id: {MARK}\r\nContent-Type: text/event-stream\r\n'
        'X-Weight-Versions: 1\r\nTransfer-Encoding: chunked\r\n\r\n',
        '18\r\nid: 0\ndata: upstream 0\n\n\r\n0\r\n\r\n',
    ),
}
RESPONSES = {
    name: (
        f'HTTP/1.1 200 {MARK}\r\nX-Request-Id: REQUEST\r\n'
        f'X-Response-Signature: {MARK}\r\n{head}{body}'
    )
    for name, (head, body) in HEADS.items()
}


class CutResponse:
    """Sends the first bytes of a response, then closes or resets."""

    def __init__(self, text: str) -> None:
        self._text = text
        self.cut = 0
        self.resets = False

    async def answer(self, request: RawRequest, response: RawResponse) -> None:
        text = self._text.replace('REQUEST', request.request_id)
        await response.write(text[: self.cut].encode())
        if self.resets:
            response.reset()
        else:
            response.close()


@pytest.mark.parametrize('reuses', [False, True])
@pytest.mark.parametrize('name', RESPONSES)
async def test_response_cut_at_any_byte_is_an_error(
    name: str, reuses: bool
) -> None:
    """Guards against a cut head that counts as a whole response.

    The error must not quote the head: it reaches callers and logs.
    """
    text = RESPONSES[name].replace('REQUEST', 'request')
    response = CutResponse(text)
    async with (
        raw_endpoint(response.answer) as raw,
        opened_gateway() as gateway,
    ):
        call = endpoint_call(reuses=reuses)
        target = endpoint('e', 'plain', address=raw.address)
        for response.resets in (False, True):
            for response.cut in range(len(text)):
                with pytest.raises(EndpointError) as caught:
                    async with gateway.open(target, call) as reply:
                        async for _ in reply.chunks():
                            pass
                assert MARK not in str(caught.value)
                assert 'Request' not in str(caught.value)
        response.cut = len(text)
        response.resets = False
        async with gateway.open(target, call) as reply:
            assert b''.join([data async for data in reply.chunks()])


@pytest.mark.parametrize('name', RESPONSES)
@pytest.mark.parametrize(
    'path', ['/safe/a', '/unsafe/a', '/stream/a', '/resumable/a']
)
async def test_cut_head_reaches_no_client(
    site: Site, path: str, name: str
) -> None:
    """Guards against a 200 with a part of a body, and against quoted heads.

    Clients got a response that was framed as whole although its endpoint had
    stopped in the middle of the head.
    """
    text = RESPONSES[name]
    response = CutResponse(text)
    head_end = text.index('\r\n\r\n')
    cuts = (0, 12, 40, text.index('X-Id') + 5, head_end + 2)
    is_plain = 'safe' in path
    async with (
        raw_endpoint(response.answer) as raw,
        site.node('node-1') as node,
    ):
        for one in [site.plain] if is_plain else site.engines:
            site.move(one, 'plain' if is_plain else 'engines', raw.address)
        await asyncio.sleep(0.5)
        with structlog.testing.capture_logs() as logs:
            for response.resets in (False, True):
                for response.cut in cuts:
                    for version in ('1.0', '1.1'):
                        received = await raw_call(node, path, version=version)
                        assert received.status in {502, 503}
                        assert MARK.encode() not in received.body
    assert raw.request_count
    assert MARK not in str(logs)
