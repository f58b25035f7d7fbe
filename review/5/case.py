"""A planned stop cuts requests that it has read and passed on."""

from __future__ import annotations

import asyncio
import json
import signal
import time
from base64 import b64encode

import loopback_site as site_parts

GRACE_S = 8.0
# Events of a stream and of an item, 45 ms apart.
STREAM_EVENTS = 70
ITEM_EVENTS = 140
EVENT_GAP_S = 0.045
# When the clients use their idle connections again, after the signal.
SEND_AFTER_S = (4.6, 5.0, 5.4, 5.8)
DEADLINE_MS = 12_000


def configuration() -> dict:
    route = {
        'host': site_parts.HOST,
        'timeoutMs': 10_000,
        'maxAttempts': 3,
        'public': False,
        'priority': 0,
    }
    return {
        'version': 2,
        'routes': [
            {
                **route,
                'name': 'notes',
                'prefix': '/notes/',
                'kind': 'streaming',
                'service': 'chat',
                'sticky': True,
            },
            {
                **route,
                'name': 'jobs',
                'prefix': '/jobs/',
                'kind': 'rollout',
                'service': 'models',
                'dueMs': 7_500,
                'queueTtlS': 30,
            },
        ],
        'services': [
            {'name': 'chat', 'engine': {'slots': 12}},
            {'name': 'models', 'engine': {'slots': 12}},
        ],
        'limits': {'maxBodyBytes': 33_554_432, 'idleTimeoutMs': 15_000},
        'tenants': [{'name': site_parts.TENANT, 'apiKeys': [site_parts.KEY]}],
    }


def job() -> bytes:
    items = [
        {
            'id': site_parts.item_id(number),
            'path': f'/jobs/3/{number}',
            'headers': {
                'X-Model': site_parts.MODEL,
                'X-Token-Usage': '16,600',
            },
            'body': b64encode(b'prompt').decode(),
            'tokens': 616,
            'group': f'g{number}',
        }
        for number in range(8)
    ]
    return json.dumps(
        {
            'step': 0,
            'model': site_parts.MODEL,
            'minVersion': 1,
            'desired': 8,
            'requests': items,
        }
    ).encode()


async def read_response(reader: asyncio.StreamReader) -> tuple[int, bool]:
    """Return the status and whether the whole response arrived."""
    head = await reader.readuntil(b'\r\n\r\n')
    status = int(head.split(b' ', 2)[1])
    lines = head.lower().split(b'\r\n')
    try:
        if b'transfer-encoding: chunked' in lines:
            while True:
                size = int(await reader.readuntil(b'\r\n'), 16)
                await reader.readexactly(size + 2)
                if size == 0:
                    return status, True
        for line in lines:
            if line.startswith(b'content-length:'):
                await reader.readexactly(int(line.split(b':')[1]))
                return status, True
    except (asyncio.IncompleteReadError, OSError, ValueError):
        return status, False
    return status, False


def request(request_id: str) -> bytes:
    return (
        f'POST /notes/{request_id} HTTP/1.1\r\n'
        f'Host: {site_parts.HOST}\r\n'
        f'Authorization: Bearer {site_parts.KEY}\r\n'
        f'X-Request-Id: {request_id}\r\n'
        f'X-Deadline-Ms: {DEADLINE_MS}\r\n'
        f'X-Model: {site_parts.MODEL}\r\n'
        'X-Token-Usage: 16,300\r\n'
        'Content-Length: 6\r\n\r\nprompt'
    ).encode()


class Client:
    """Uses one connection for a request, idles, and uses it again."""

    def __init__(self, site, node, name: str) -> None:
        self.site = site
        self.node = node
        self.name = name
        self.sent_s = 0.0
        self.ended_s = 0.0
        self.outcome = 'not sent'

    async def open(self) -> None:
        host, port = self.node.front_address
        self.reader, self.writer = await asyncio.open_connection(host, port)
        status, is_whole = await self.send(f'{self.name}a')
        if status != 200 or not is_whole:
            raise site_parts.CouldNotRunError(f'first request: {status}')

    async def send(self, request_id: str) -> tuple[int, bool]:
        self.writer.write(request(request_id))
        await self.writer.drain()
        return await read_response(self.reader)

    async def send_again(self) -> None:
        self.sent_s = time.monotonic()
        try:
            status, is_whole = await self.send(f'{self.name}b')
            self.outcome = f'{status}, {"whole" if is_whole else "cut"}'
        except (asyncio.IncompleteReadError, OSError) as error:
            self.outcome = f'no answer: {error!r}'
        self.ended_s = time.monotonic()
        self.site.record(
            f'{self.name}b sent {self.site.record.at(self.sent_s):.3f},'
            f' ended {self.site.record.at(self.ended_s):.3f}: {self.outcome}'
        )
        self.writer.close()


async def play(site: site_parts.Site) -> bool:
    chat = site_parts.TimedSampler(
        'i-chat', event_count=STREAM_EVENTS, models=(site_parts.MODEL,)
    )
    chat.event_gap_s = 0.002
    await site.add_sampler(chat, 'chat', 'osborne-park')
    for name in ('i-model-1', 'i-model-2'):
        sampler = site_parts.TimedSampler(
            name, event_count=ITEM_EVENTS, models=(site_parts.MODEL,)
        )
        sampler.event_gap_s = EVENT_GAP_S
        await site.add_sampler(sampler, 'models', 'osborne-park')
    site.configure(configuration())
    node = await site.start_node('front-osborne-park-1')
    await site.wait_ready(node)
    await asyncio.sleep(1.0)
    clients = [
        Client(site, node, f'c{number}') for number in range(len(SEND_AFTER_S))
    ]
    await asyncio.gather(*(client.open() for client in clients))
    chat.event_gap_s = EVENT_GAP_S
    status, _ = await site.call(
        node, 'POST', '/jobs/1', request_id='9c41d07be2a35f68', body=job()
    )
    site.record(f'batch job answered {status}')
    if status != 202:
        raise site_parts.CouldNotRunError('the job was not accepted')
    await asyncio.sleep(0.4)
    stop_s = time.monotonic()
    if site_parts.has_trouble():
        node.process.send_signal(signal.SIGTERM)
        site.record('SIGTERM')

    async def at(client: Client, after_s: float) -> None:
        await asyncio.sleep(stop_s + after_s - time.monotonic())
        await client.send_again()

    kill_timer = asyncio.get_running_loop().call_later(
        GRACE_S,
        lambda: (
            node.process.returncode is None
            and site_parts.has_trouble()
            and node.process.kill()
        ),
    )
    await asyncio.gather(*map(at, clients, SEND_AFTER_S))
    kill_timer.cancel()
    ran = {request_id: at_s for at_s, request_id, _ in chat.log}
    is_broken = False
    for client in clients:
        request_id = f'{client.name}b'
        passed_on = request_id in ran
        cut = 'cut' in client.outcome or (
            'no answer' in client.outcome and passed_on
        )
        if passed_on:
            site.record(
                f'{request_id} reached its sampler'
                f' {site.record.at(ran[request_id]):.3f}'
            )
        late = client.sent_s - stop_s > 3.0
        has_time = client.ended_s - client.sent_s < 10.0
        if cut and passed_on and late and has_time:
            site.record(f'{request_id}: LOST')
            is_broken = True
    return is_broken


if __name__ == '__main__':
    site_parts.run_case(__file__, play, 60.0)
