"""Exchange of loads between processes over real UDP sockets."""

from __future__ import annotations

import asyncio
import re
import socket
from typing import TYPE_CHECKING

import msgspec
import pytest

from dogwoodpost.errors import TransportError
from dogwoodpost.platform.datagrams import UdpNetwork
from dogwoodpost.platform.job_forwarding import FORWARDED_HEADER
from dogwoodpost.platform.settings import ProcessSettings
from dogwoodpost.services.membership.presence_service import TABLE
from tests.platform.platform_site import free_port

if TYPE_CHECKING:
    from tests.platform.platform_site import Node
    from tests.platform.platform_site import Site

POLICY = {'load_exchange': {'enabled': True, 'interval_ms': 50}}


async def counters(site: Site, node: Node) -> dict[str, float]:
    async with site.session.get(f'{node.ready}/metrics') as response:
        text = await response.text()
    found = re.findall(r'events_total{name="load_exchange_(\w+)"} (\S+)', text)
    return {name: float(value) for name, value in found}


async def submit_here(site: Site, node: Node, job_id: str) -> None:
    """Submit a job that the process doesn't forward."""
    status, _, _ = await site.send(
        node,
        f'/jobs/{job_id}',
        body=msgspec.json.encode(site.job(2)),
        request_id=job_id,
        headers={FORWARDED_HEADER: 'other'},
    )
    assert status == 202


async def wait_counted(site: Site, node: Node, name: str) -> None:
    async with asyncio.timeout(4.0):
        for _ in range(80):
            if (await counters(site, node)).get(name):
                return
            await asyncio.sleep(0.05)
    raise AssertionError(f'no datagram has been {name}')


async def test_owners_exchange_loads_beside_an_old_build(site: Site) -> None:
    """Guards against processes that don't reach each other's sockets.

    One more process is an old build: its row has none of the new fields.
    """
    site.policy = POLICY
    site.put(
        TABLE,
        'old',
        msgspec.msgpack.encode({'incarnation': 'x', 'sequence': 1}),
    )
    for engine in site.engines:
        engine.event_gap_s = 0.25
    async with site.node('node-1') as first, site.node('node-2') as second:
        await submit_here(site, first, 'job-1')
        await submit_here(site, second, 'job-2')
        await wait_counted(site, first, 'received')
        await wait_counted(site, second, 'sent')
        page = await site.store.read(TABLE, '')
        rows = {
            row.key.key: msgspec.msgpack.decode(row.value or b'')
            for row in page.rows
        }
        host, port = rows['node-1']['datagram_address'].split(':')
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
            sender.sendto(b'\xc1', (host, int(port)))
        await wait_counted(site, first, 'dropped_malformed')


async def test_a_taken_port_leaves_a_working_process(site: Site) -> None:
    """Guards against a process that waits for a port or ends."""
    site.policy = POLICY
    site.peer_port = free_port()
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as holder:
        holder.bind(('127.0.0.1', site.peer_port))
        async with site.node('node-1') as node:
            assert await site.submit(node, site.job(1), 'job-1') == 202
            assert len(await site.results(node, 'job-1', 1)) == 1
            page = await site.store.read(TABLE, '')
            row = msgspec.msgpack.decode(page.rows[0].value or b'')
            assert row['datagram_address'] == ''


async def test_datagrams_arrive_and_malformed_addresses_are_refused() -> None:
    """Guards against an address in a row that stops all sends."""
    received: asyncio.Queue[bytes] = asyncio.Queue()
    address = f'127.0.0.1:{free_port()}'
    async with UdpNetwork(address).open(received.put_nowait) as channel:
        for malformed in ('', 'host:1', '127.0.0.1', '127.0.0.1:70000'):
            assert not channel.send(malformed, b'x')
        # Nothing listens there.
        assert channel.send(f'127.0.0.1:{free_port()}', b'x')
        assert channel.send(channel.address, b'data')
        async with asyncio.timeout(1.0):
            assert await received.get() == b'data'
        with pytest.raises(TransportError):
            async with UdpNetwork(address).open(received.put_nowait):
                pass


@pytest.mark.parametrize(
    ('ip', 'port_range', 'expected'),
    [
        ('10.0.0.1', (7000, 7009), '10.0.0.1:7001'),
        ('10.0.0.1', (7000, 7000), '10.0.0.1:7000'),
        ('10.0.0.1', (7000, 0), '10.0.0.1:7000'),
        ('10.0.0.1', (), ''),
        ('', (7000, 7009), ''),
    ],
)
def test_datagrams_use_a_reserved_port(
    ip: str, port_range: tuple[int, ...], expected: str
) -> None:
    """Guards against a port that another process on the host may use."""
    settings = ProcessSettings(
        node='n',
        zone='z',
        region='r',
        platform=None,
        ip=ip,
        port_range=port_range,
    )
    assert settings.datagram_address == expected
