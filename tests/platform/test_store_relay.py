"""Processes that reach the store only through a peer."""

from __future__ import annotations

import asyncio

import msgspec
import pytest

from dogwoodpost.core import ids
from dogwoodpost.core.allowed_regions import AllowedRegions
from dogwoodpost.core.membership.presence import PresenceRecord
from dogwoodpost.errors import StoreOutcomeUnknownError
from dogwoodpost.errors import StoreUnavailableError
from dogwoodpost.observability import Metrics
from dogwoodpost.platform.store_client import PlatformRowStore
from dogwoodpost.platform.store_connection import StoreCall
from dogwoodpost.platform.store_connection import StoreConnection
from dogwoodpost.platform.store_relay import StoreRelay
from dogwoodpost.platform.store_relay import TIMEOUT_HEADER
from dogwoodpost.ports.row_store import RowCheck
from dogwoodpost.ports.row_store import RowKey
from dogwoodpost.ports.row_store import RowWrite
from dogwoodpost.services.membership import presence_service
from tests.platform.platform_site import EVENT_COUNT
from tests.platform.platform_site import Site
from tests.platform.store_proxy import ProxyMode
from tests.platform.store_proxy import store_proxy

HEARTBEAT_READ_S = 1.2
OUTAGE_MODES = [ProxyMode.REFUSING, ProxyMode.RESETTING, ProxyMode.SILENT]
# An owner without heartbeats for this time counts as failed.
TIMEOUT_S = presence_service.HEARTBEAT_TIMEOUT_S


async def heartbeat_count(site: Site, name: str) -> int:
    page = await site.store.read(presence_service.TABLE, '')
    for row in page.rows:
        if row.key.key == name and row.value is not None:
            return msgspec.msgpack.decode(
                row.value, type=PresenceRecord
            ).sequence
    return 0


@pytest.mark.parametrize('mode', OUTAGE_MODES)
async def test_owner_lists_results_through_a_peer(
    site: Site, mode: ProxyMode
) -> None:
    """Guards against results that are not readable until a job is taken over.

    The owner has the results and reaches its peers, but not the store.
    """
    for engine in site.engines:
        engine.event_gap_s = 0.2
    async with store_proxy(site.store_address) as proxy:
        site.store_addresses['node-1'] = proxy.address
        async with site.node('node-1') as owner:
            assert await site.submit(owner, site.job(4), 'job-1') == 202
            async with site.node('node-2') as other:
                await asyncio.sleep(HEARTBEAT_READ_S)
                assert await site.submit(owner, site.job(2), 'job-2') == 202
                proxy.set_mode(mode)
                results = await site.results(other, 'job-1', 4)
                assert all(
                    len(result['text'].splitlines()) == EVENT_COUNT
                    for result in results
                )
                assert (await site.head('job-1')).owner_id == 'node-1'
                # Items run and results are read without direct access to the
                # store.
                await site.results(owner, 'job-2', 2)


@pytest.mark.parametrize('mode', OUTAGE_MODES)
async def test_heartbeats_and_changes_go_through_a_peer(
    site: Site, mode: ProxyMode
) -> None:
    """Guards against take-overs of jobs whose owner still works."""
    async with store_proxy(site.store_address) as proxy:
        site.store_addresses['node-1'] = proxy.address
        async with site.node('node-1') as cut, site.node('node-2'):
            await asyncio.sleep(HEARTBEAT_READ_S)
            proxy.set_mode(mode)
            await asyncio.sleep(TIMEOUT_S)
            count = await heartbeat_count(site, 'node-1')
            configuration = site.configuration(version=3)
            configuration['tenants'] = []
            configuration['routes'] = configuration['routes'][:1]
            site.configure(configuration)
            await asyncio.sleep(TIMEOUT_S)
            assert await heartbeat_count(site, 'node-1') >= count + 2
            status, _, _ = await site.send(cut, '/unsafe/a')
            assert status == 404
            proxy.set_mode(ProxyMode.OPEN)
            await asyncio.sleep(TIMEOUT_S)
            assert cut.process._store._path.serves_peers(
                asyncio.get_running_loop().time()
            )


async def test_store_outage_at_all_processes_fails_calls_at_once(
    site: Site,
) -> None:
    """Guards against calls that processes relay in a loop without a store."""
    async with (
        store_proxy(site.store_address) as first,
        store_proxy(site.store_address) as second,
    ):
        site.store_addresses['node-1'] = first.address
        site.store_addresses['node-2'] = second.address
        async with site.node('node-1') as node, site.node('node-2'):
            await asyncio.sleep(HEARTBEAT_READ_S)
            first.set_mode(ProxyMode.REFUSING)
            second.set_mode(ProxyMode.REFUSING)
            await asyncio.sleep(2.0)
            loop = asyncio.get_running_loop()
            start_s = loop.time()
            status, _, _ = await site.send(
                node, '/api/lots/job-1?after=0', method='GET'
            )
            assert status == 503
            assert loop.time() - start_s < 0.5


class NoPeers:
    """Relay whose peers do not reach the store either."""

    async def call(self, call: StoreCall) -> tuple[int, bytes]:
        raise StoreUnavailableError('refused by a peer')


async def test_lost_response_does_not_stop_direct_calls(site: Site) -> None:
    """Guards against calls that fail because an earlier response was lost."""
    async with store_proxy(site.store_address) as proxy:
        connection = StoreConnection(proxy.address, site.session, Metrics())
        connection.relay = NoPeers()
        rows = PlatformRowStore(connection)
        key = RowKey('table', '', 'key')
        proxy.set_mode(ProxyMode.RESETTING)
        with pytest.raises((StoreUnavailableError, StoreOutcomeUnknownError)):
            await rows.commit([], [RowWrite(key, b'first')])
        proxy.set_mode(ProxyMode.OPEN)
        await rows.commit([RowCheck(key, 0)], [RowWrite(key, b'second')])
    assert site.store.rows[key].value == b'second'


async def test_bodies_pass_only_through_peers_in_allowed_regions(
    site: Site,
) -> None:
    """Guards against bodies that a peer of another region reads."""
    async with (
        site.node('node-2', 'zone-a') as inside,
        site.node('node-3', 'zone-b') as outside,
    ):
        presence = inside.process._presence
        await asyncio.sleep(HEARTBEAT_READ_S)
        connection = StoreConnection('127.0.0.1:1', site.session, Metrics())
        connection.relay = StoreRelay(presence, site.session, Metrics())
        allowed = AllowedRegions(frozenset({ids.Region('region-a')}))
        rows = PlatformRowStore(connection).within(allowed)
        with pytest.raises(StoreUnavailableError):
            await rows.commit([], [RowWrite(RowKey('t', '', 'k'), b'body')])
        # The same call passes where the peer's region is allowed.
        allowed = AllowedRegions(frozenset({ids.Region('region-b')}))
        rows = PlatformRowStore(connection).within(allowed)
        await rows.commit([], [RowWrite(RowKey('t', '', 'k'), b'body')])
        assert outside.process.is_ready()


@pytest.mark.parametrize('value', [None, '', 'soon', '0', '-5'])
async def test_peer_call_without_a_time_limit_is_refused(
    site: Site, value: str | None
) -> None:
    """Guards against calls to the store without a time limit."""
    headers = {} if value is None else {TIMEOUT_HEADER: value}
    async with site.node('node-1') as node:
        address = node.process._settings.peer_address
        async with site.session.get(
            f'http://{address}/store/rows-get?table=op&part=', headers=headers
        ) as response:
            assert response.status == 400
            assert TIMEOUT_HEADER in await response.text()
