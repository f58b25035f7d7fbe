"""Client for tests that look at how a response ends."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import msgspec

from tests.platform.platform_site import HOST
from tests.platform.platform_site import KEY
from tests.platform.platform_site import MODEL

if TYPE_CHECKING:
    from tests.platform.platform_site import Node
    from tests.platform.platform_site import SpawnedNode


class RawAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """A response as it was received.

    :param is_reset: the connection was reset.
    """

    status: int
    headers: dict[str, str]
    body: bytes
    is_reset: bool

    @property
    def looks_whole(self) -> bool:
        """Return whether the response gives no sign that it broke off."""
        if not self.status or self.is_reset:
            return False
        if 'content-length' in self.headers:
            return len(self.body) == int(self.headers['content-length'])
        if 'transfer-encoding' in self.headers:
            return self.body.endswith(b'0\r\n\r\n')
        return True

    @property
    def content(self) -> bytes:
        """Return the body without the sizes of its chunks."""
        if 'transfer-encoding' not in self.headers:
            return self.body
        content = b''
        rest = self.body
        while rest:
            size, _, rest = rest.partition(b'\r\n')
            length = int(size, 16)
            content += rest[:length]
            rest = rest[length + 2 :]
        return content


async def raw_call(
    node: Node | SpawnedNode,
    path: str,
    *,
    version: str = '1.0',
    method: str = 'POST',
    read_delay_s: float = 0.0,
    fields: tuple[str, ...] = (),
) -> RawAnswer:
    """Send a request and read until the connection ends.

    :param read_delay_s: how long to wait before the first read.
    :param fields: further header lines.
    """
    address, port = node.front.removeprefix('http://').split(':')
    reader, writer = await asyncio.open_connection(address, int(port))
    further_lines = ''.join(f'{field}\r\n' for field in fields)
    writer.write(
        (
            f'{method} {path} HTTP/{version}\r\n'
            f'Host: {HOST}\r\n'
            f'Authorization: Bearer {KEY}\r\n'
            f'X-Request-Id: raw-{port}-{id(writer)}\r\n'
            'X-Deadline-Ms: 2000\r\n'
            f'X-Model: {MODEL}\r\n'
            f'{further_lines}'
            'Connection: close\r\n'
            'Content-Length: 0\r\n\r\n'
        ).encode()
    )
    await asyncio.sleep(read_delay_s)
    received = b''
    is_reset = False
    try:
        async with asyncio.timeout(10.0):
            while data := await reader.read(65_536):
                received += data
    except ConnectionError:
        is_reset = True
    finally:
        writer.close()
    head, _, body = received.partition(b'\r\n\r\n')
    lines = head.decode().split('\r\n')
    headers = dict(
        line.lower().split(': ', 1) for line in lines[1:] if ': ' in line
    )
    status = int(lines[0].split(' ')[1]) if lines[0] else 0
    return RawAnswer(
        status=status, headers=headers, body=body, is_reset=is_reset
    )
