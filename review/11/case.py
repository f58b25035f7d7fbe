"""A server crashes while it sends event streams that have no length."""

from __future__ import annotations

import asyncio
import signal
import sys
import uuid
from collections import Counter
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'lib-3'))

import small_site as lib  # noqa: E402
import stream_server  # noqa: E402

# Route and place of the crash, as the path tells the server.
GROUPS = ('/lohu930/middle', '/lohu930/head', '/spuxsr7/head')
_CLIENTS_PER_GROUP = 4
_STOP_TIMEOUT_S = 10.0
_READ_TIMEOUT_S = 20.0
_WHOLE = b''.join(
    stream_server.event(number) for number in range(stream_server.EVENT_COUNT)
)


async def _read_chunks(reader: asyncio.StreamReader) -> tuple[bytes, bool]:
    """Return a chunked body, and whether its end was marked."""
    body = b''
    try:
        async with asyncio.timeout(_READ_TIMEOUT_S):
            while True:
                size = int(await reader.readuntil(b'\r\n'), 16)
                body += (await reader.readexactly(size + 2))[:size]
                if size == 0:
                    return body, True
    except (asyncio.IncompleteReadError, TimeoutError, OSError):
        return body, False


async def stream(site: lib.SmallSite, address: str, path: str) -> str:
    """Read a stream; return how it ended."""
    request_id = uuid.uuid4().hex[:16]
    host, _, port = address.partition(':')
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(
        f'POST {path} HTTP/1.1\r\n'
        f'Host: {lib.HOST}\r\n'
        f'X-Request-Id: {request_id}\r\n'
        'X-Deadline-Ms: 10000\r\n'
        f'Authorization: Bearer {lib.KEY}\r\n'
        'Content-Length: 5\r\n\r\nhello'.encode()
    )
    site.record.add(f'client sends {request_id} to {path}')
    head = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1')
    status = head.split(' ', 2)[1]
    if 'transfer-encoding: chunked' not in head.lower():
        raise RuntimeError(f'unexpected head: {head!r}')
    body, is_complete = await _read_chunks(reader)
    writer.close()
    end = 'broken off'
    if is_complete:
        end = 'whole' if body == _WHOLE else 'complete but too soon'
    site.record.add(
        f'client got {request_id} from {path}: status {status}, '
        f'{len(body)} of {len(_WHOLE)} bytes, {end}'
    )
    return end


def _route(name: str, prefix: str, *, resumable: bool) -> dict[str, object]:
    return {
        'name': name,
        'prefix': prefix,
        'kind': 'streaming',
        'resumable': resumable,
        'service': 'huvo11a',
        'timeoutMs': 10000,
        'targetLatencyMs': 500,
        'priority': 0,
        'maxAttempts': 3,
        'public': False,
    }


async def main(site: lib.SmallSite) -> int:
    site.configure(
        routes=[
            _route('r-streams', '/lohu930/', resumable=False),
            _route('r-resumable', '/spuxsr7/', resumable=True),
        ],
        services=[
            {
                'name': 'huvo11a',
                'healthCheck': '/healthz',
                'maxConnections': 160,
                'protocol': 'h1',
                'tls': False,
            }
        ],
    )
    port = lib.free_port()
    server = await site.start_stand_in(
        'server',
        FOLDER.parent / 'lib-3' / 'stream_server.py',
        str(port),
        *(['stop'] if lib.TROUBLE else []),
    )
    entry = lib.server_entry('huvo11a', f'127.0.0.1:{port}')
    site.put('servers', 'i-7f3a91c2', entry)
    _, address = await site.start_front('front-montevideo-a-1')
    await asyncio.sleep(1.0)
    paths = [path for path in GROUPS for _ in range(_CLIENTS_PER_GROUP)]
    clients = [
        asyncio.create_task(stream(site, address, path)) for path in paths
    ]
    log = site.folder / 'server.log'
    if lib.TROUBLE:
        async with asyncio.timeout(_STOP_TIMEOUT_S):
            while log.read_text().count('stopped ') < len(paths):
                await asyncio.sleep(0.05)
        site.record.add('the server is killed')
        server.send(signal.SIGKILL)
    ends = await asyncio.gather(*clients)
    for line in log.read_text(encoding='utf-8').splitlines():
        site.record.add(f'server: {line}')
    counts = Counter(zip(paths, ends, strict=True))
    for (path, end), count in sorted(counts.items()):
        site.record.add(f'{path}: {count} of {_CLIENTS_PER_GROUP} {end}')
    is_broken = 'complete but too soon' in ends
    if not lib.TROUBLE and set(ends) != {'whole'}:
        return lib.EXIT_NOT_RUN
    return lib.EXIT_BROKEN if is_broken else lib.EXIT_HELD


if __name__ == '__main__':
    sys.exit(lib.run_case(main, FOLDER))
