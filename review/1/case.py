"""Requests that may run once run twice when their answer is lost."""

from __future__ import annotations

import asyncio
import random
import time

import loopback_site as site_parts
from aiohttp import web

CLIENT_COUNT = 6
PLAY_S = 6.0
METHODS = ('PUT', 'POST', 'DELETE', 'GET')
# One of two servers loses one answer in twenty, for four seconds.
LOST_EVERY = 20
LOSS_START_S = 1.0
LOSS_S = 4.0


class BookingServer(site_parts.TimedSampler):
    """A plain service that may lose answers after it ran the requests."""

    def __init__(self, endpoint_id: str) -> None:
        super().__init__(endpoint_id)
        self.loses_answers = False
        self.lost_ids: list[str] = []
        self._count = 0

    async def _run(self, request: web.Request) -> web.StreamResponse:
        response = await super()._run(request)
        if not self.loses_answers:
            return response
        self._count += 1
        if self._count % LOST_EVERY == 0:
            self.lost_ids.append(request.headers.get('X-Request-Id', ''))
            if request.transport is not None:
                request.transport.abort()
        return response


def configuration() -> dict:
    return {
        'version': 2,
        'routes': [
            {
                'host': site_parts.HOST,
                'name': 'bookings',
                'prefix': '/bookings/',
                'kind': 'unsafe',
                'service': 'booking',
                'timeoutMs': 3_000,
                'maxAttempts': 3,
                'public': False,
                'priority': 2,
                'targetLatencyMs': 200,
            },
        ],
        'services': [{'name': 'booking'}],
        'limits': {'maxBodyBytes': 33_554_432},
        'tenants': [{'name': site_parts.TENANT, 'apiKeys': [site_parts.KEY]}],
    }


async def play(site: site_parts.Site) -> bool:
    servers = [BookingServer(f'i-booking-{number}') for number in range(2)]
    for server in servers:
        server.work_s = 0.02
        await site.add_sampler(server, 'booking', 'osborne-park')
    site.configure(configuration())
    node = await site.start_node('front-osborne-park-1')
    await site.wait_ready(node)
    await asyncio.sleep(1.0)
    answers: dict[str, int] = {}
    end_s = time.monotonic() + PLAY_S

    async def use(client_number: int) -> None:
        while time.monotonic() < end_s:
            method = random.choice(METHODS)
            request_id = f'{random.getrandbits(64):016x}-{method}'
            status, _ = await site.call(
                node,
                method,
                f'/bookings/{client_number}',
                request_id=request_id,
                body=b'swap' if method in {'PUT', 'POST'} else b'',
                headers={'X-Deadline-Ms': '3000'},
                timeout_s=4.0,
            )
            answers[request_id] = status

    async def lose_answers() -> None:
        await asyncio.sleep(LOSS_START_S)
        servers[0].loses_answers = site_parts.has_trouble()
        await asyncio.sleep(LOSS_S)
        servers[0].loses_answers = False

    await asyncio.gather(lose_answers(), *map(use, range(CLIENT_COUNT)))
    await asyncio.sleep(1.0)
    lost = {i for server in servers for i in server.lost_ids}
    twice = 0
    for request_id, status in answers.items():
        runs = sum(server.runs[request_id] for server in servers)
        if request_id in lost or runs != 1:
            site.record(
                f'{request_id}: answer lost {request_id in lost},'
                f' runs {runs}, client got {status}'
            )
        twice += runs > 1
    site.record(
        f'{len(answers)} unsafe requests, {len(lost)} answers lost,'
        f' {twice} requests ran more than once'
    )
    return twice > 0


if __name__ == '__main__':
    site_parts.run_case(__file__, play, 60.0)
