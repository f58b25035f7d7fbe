"""Server whose event streams have no length and end with their connection.

With the argument ``stop``, it stops for good in each stream: before the first
event if the path ends with ``head``, and in the middle of an event if it ends
with ``middle``. Whoever started it then kills it.
"""

from __future__ import annotations

import asyncio
import sys

EVENT_COUNT = 20
_STOP_AT_EVENT = 7
_GAP_S = 0.02
_STOPPED_S = 100.0


def event(number: int) -> bytes:
    """Return an event; its data fills a usual piece of 300 bytes."""
    data = f'piece {number} '.ljust(280, '.')
    return f'id: {number}\ndata: {data}\n\n'.encode()


async def _stop(request_id: str, place: str) -> None:
    print('stopped', request_id, place, flush=True)
    await asyncio.sleep(_STOPPED_S)


async def serve(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter, stops: bool
) -> None:
    head = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1')
    lines = head.split('\r\n')
    headers = {
        name.strip().lower(): value.strip()
        for name, _, value in (line.partition(':') for line in lines[1:])
    }
    await reader.readexactly(int(headers.get('content-length', '0')))
    request_id = headers.get('x-request-id', '')
    path = lines[0].split(' ')[1]
    first = int(headers.get('last-event-id', '-1')) + 1
    print('runs', request_id, path, 'from event', first, flush=True)
    writer.write(
        b'HTTP/1.1 200 OK\r\n'
        b'Content-Type: text/event-stream\r\n'
        b'X-Weight-Versions: 1\r\n'
        b'X-Request-Id: ' + request_id.encode() + b'\r\n'
        b'X-Response-Signature: 3e1b.' + request_id.encode() + b'\r\n'
        b'Connection: close\r\n\r\n'
    )
    await writer.drain()
    if stops and path.endswith('head'):
        await _stop(request_id, 'before the first event')
    for number in range(first, EVENT_COUNT):
        data = event(number)
        half = len(data) // 2
        writer.write(data[:half])
        await writer.drain()
        if stops and number == _STOP_AT_EVENT:
            await _stop(request_id, f'in the middle of event {number}')
        writer.write(data[half:])
        await writer.drain()
        await asyncio.sleep(_GAP_S)
    writer.close()


async def main(port: int, stops: bool) -> None:
    server = await asyncio.start_server(
        lambda reader, writer: serve(reader, writer, stops), '127.0.0.1', port
    )
    await server.serve_forever()


if __name__ == '__main__':
    asyncio.run(main(int(sys.argv[1]), sys.argv[2:] == ['stop']))
