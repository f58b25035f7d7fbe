"""A call of a former holder reaches the platform after the next holder's."""

from __future__ import annotations

import asyncio
import base64
import json
import time

import loopback_site as site_parts
from aiohttp import web

from dogwoodpost.standins.site.duty_app import DutyApp
from dogwoodpost.standins.site.duty_app import ScaleCall

CUT_S = 5.5
THAW_SLACK_S = 0.3
# An order is repeated every 10 s; the cut begins shortly before.
CUT_AFTER_ORDER_S = 9.4
# When TCP sends a lost segment again, after it was first sent.
RETRANSMISSIONS_S = (0.2, 0.6, 1.4, 3.0, 6.2, 12.6)
SERVICE = 'booking'


class TimedDutyApp(DutyApp):
    """The project's stand-in, which also notes when calls arrived."""

    def __init__(self) -> None:
        super().__init__()
        self.times: list[float] = []

    async def _scale(self, request: web.Request) -> web.Response:
        response = await super()._scale(request)
        self.times.append(time.monotonic())
        return response


class CutPath:
    """A path that can be cut for a while, for one process.

    During the cut nothing passes, either way, and new connections hang. What
    was sent on open connections passes when TCP next sends it again; if its
    sender resets the connection before, it is lost.
    """

    def __init__(self, site, name: str, target: str) -> None:
        self._site = site
        self._name = name
        self._host, port = target.split(':')
        self._port = int(port)
        self._healed = asyncio.Event()
        self._healed.set()
        self._servers: list[asyncio.Server] = []
        self._tasks: set[asyncio.Task[None]] = set()

    async def open(self, digits: int = 0) -> str:
        """Return the address of the near end.

        :param digits: length of its port in digits; 0 for any.
        """
        while True:
            port = site_parts.free_port()
            if not digits or len(str(port)) == digits:
                break
        self._servers.append(
            await asyncio.start_server(self._serve, '127.0.0.1', port)
        )
        return f'127.0.0.1:{port}'

    async def close(self) -> None:
        """Close all connections of the path."""
        for server in self._servers:
            server.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def cut(self) -> None:
        self._healed.clear()

    def heal(self) -> None:
        self._healed.set()

    async def _serve(self, reader, writer) -> None:
        task = asyncio.current_task()
        self._tasks.add(task)
        up_writer = None
        try:
            if not self._healed.is_set():
                # The connection isn't made before its sender tries again; by
                # then, these senders have given up.
                await self._healed.wait()
                return
            up_reader, up_writer = await asyncio.open_connection(
                self._host, self._port
            )
            await asyncio.gather(
                self._pass(reader, up_writer),
                self._pass(up_reader, writer),
                return_exceptions=True,
            )
        except OSError:
            return
        finally:
            self._tasks.discard(task)
            writer.close()
            if up_writer is not None:
                up_writer.close()

    async def _pass(self, reader, writer) -> None:
        try:
            while data := await reader.read(65_536):
                if not self._healed.is_set():
                    await self._wait_for_retransmission(data)
                    if isinstance(reader.exception(), ConnectionError):
                        return
                writer.write(data)
                await writer.drain()
        finally:
            writer.close()

    async def _wait_for_retransmission(self, data: bytes) -> None:
        sent_s = time.monotonic()
        await self._healed.wait()
        passed_s = time.monotonic() - sent_s
        next_s = min(at_s for at_s in RETRANSMISSIONS_S if at_s >= passed_s)
        await asyncio.sleep(next_s - passed_s)
        if data.startswith(b'POST /scale'):
            self._site.record(f'a held-up call passes on {self._name}')


def renamed_peer(old: str, new: str):
    """Return a middleware that shows one process another's near end.

    The process learns the addresses of its peers from rows of the store; one
    of them is replaced, so that the path between the two can be cut.
    """

    @web.middleware
    async def middleware(request: web.Request, handler) -> web.StreamResponse:
        response = await handler(request)
        if (
            request.query.get('table') != 'processes'
            or not isinstance(response, web.Response)
            or response.status != 200
        ):
            return response
        body = json.loads(response.body)
        for row in body['rows']:
            if 'value' in row:
                value = base64.b64decode(row['value'])
                value = value.replace(old.encode(), new.encode())
                row['value'] = base64.b64encode(value).decode()
        return web.json_response(body)

    return middleware


def configuration() -> dict:
    return {
        'version': 2,
        'routes': [
            {
                'host': site_parts.HOST,
                'name': 'bookings',
                'prefix': '/bookings/',
                'kind': 'safe',
                'service': SERVICE,
                'timeoutMs': 3_000,
                'maxAttempts': 3,
                'public': False,
                'priority': 2,
            },
        ],
        'services': [
            {'name': SERVICE, 'scale': {'min': 1, 'max': 4, 'bootS': 3}}
        ],
        'limits': {'maxBodyBytes': 33_554_432},
        'tenants': [{'name': site_parts.TENANT, 'apiKeys': [site_parts.KEY]}],
    }


async def start_behind_paths(site, peer: site_parts.Node):
    """Start a process whose paths to all others can be cut."""
    name = 'front-osborne-park-1'
    settings = site.settings(name, 'osborne-park')
    peer_address = f'127.0.0.1:{peer.settings["portRange"][0]}'
    to_peer = CutPath(site, 'the path to the peer', peer_address)
    near_peer = await to_peer.open(len(peer_address.split(':')[1]))
    app = site.store_app.app()
    app.middlewares.append(renamed_peer(peer_address, near_peer))
    to_store = CutPath(site, 'the path to the store', await site.serve(app))
    to_duties = CutPath(
        site, 'the path to the duty API', site.addresses['duties']
    )
    settings['platform']['address'] = await to_store.open()
    settings['cloud']['address'] = await to_duties.open()
    node = site_parts.Node(name, settings)
    site.nodes.append(node)
    await site.spawn(node)
    paths = (to_peer, to_store, to_duties)
    for path in paths:
        site.at_end(path.close)
    return node, paths


async def wait_for_order(site, holder: str, timeout_s: float) -> float:
    """Return when the last order of a holder arrived, after a new one."""
    count = len(site.duties.scale_calls)
    end_s = time.monotonic() + timeout_s
    while time.monotonic() < end_s:
        if len(site.duties.scale_calls) > count:
            if site.duties.scale_calls[-1].holder == holder:
                return site.duties.times[-1]
        await asyncio.sleep(0.02)
    raise site_parts.CouldNotRunError(f'no order of {holder}')


def judge(site, calls: list[ScaleCall], times: list[float], healed_s: float):
    highest = 0
    is_broken = False
    for call, at_s in zip(calls, times, strict=True):
        site.record(
            f'/scale arrived {site.record.at(at_s):.3f}: {call.zone}'
            f' {call.desired}, holder {call.holder}, token'
            f' {call.fencing_token}'
        )
        is_excused = 0.0 <= at_s - healed_s <= THAW_SLACK_S
        if call.fencing_token < highest and not is_excused:
            site.record(
                f'token {call.fencing_token} after {highest},'
                f' {at_s - healed_s:.3f} s after the link healed: ONE'
            )
            is_broken = True
        highest = max(highest, call.fencing_token)
    return is_broken


async def play(site: site_parts.Site) -> bool:
    server = site_parts.TimedSampler('i-booking-1')
    await site.add_sampler(server, SERVICE, 'osborne-park')
    site.configure(configuration())
    # The process behind the paths starts last and must get the lease, so the
    # other one starts after it is known; its settings are made first.
    peer = site_parts.Node(
        'front-picton-1', site.settings('front-picton-1', 'picton')
    )
    node, paths = await start_behind_paths(site, peer)
    await site.wait_ready(node)
    await wait_for_order(site, node.name, 15.0)
    site.nodes.append(peer)
    await site.spawn(peer)
    await site.wait_ready(peer)
    last_s = await wait_for_order(site, node.name, 15.0)
    site.record(f'{node.name} holds the duty')
    await asyncio.sleep(last_s + CUT_AFTER_ORDER_S - time.monotonic())
    healed_s = float('inf')
    if site_parts.has_trouble():
        for path in paths:
            path.cut()
        site.record(f'{node.name} is cut off')
    await asyncio.sleep(CUT_S)
    if site_parts.has_trouble():
        for path in paths:
            path.heal()
        healed_s = time.monotonic()
        site.record('the cut has healed')
    await asyncio.sleep(9.0)
    return judge(site, site.duties.scale_calls, site.duties.times, healed_s)


def prepare(site) -> None:
    site.duties = TimedDutyApp()


if __name__ == '__main__':
    site_parts.run_case(__file__, play, 100.0, prepare)
