"""How long batch jobs and their results stay readable."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import pytest

from dogwoodpost.services.batches import job_cleaner
from dogwoodpost.services.batches import job_rows
from tests.fakes.site import eventually

if TYPE_CHECKING:
    from dogwoodpost.ports.row_store import RowKey
    from tests.platform.platform_site import Site

RETENTION_S = 1.5


@pytest.fixture(autouse=True)
def short_retention(site: Site, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(job_cleaner, '_RETENTION_MARGIN_S', RETENTION_S)
    monkeypatch.setattr(job_cleaner, '_CLEANUP_INTERVAL_S', 0.1)
    site.status_s = 0.0


def stored_keys(site: Site, table: str) -> list[RowKey]:
    return [key for key in site.store.rows if key.table == table]


async def metric(site: Site, node_ready: str, name: str) -> float:
    async with site.session.get(f'{node_ready}/metrics') as response:
        text = await response.text()
    values = [
        line.rpartition(' ')[2]
        for line in text.splitlines()
        if line.startswith(f'dogwoodpost_{name} ')
    ]
    return float(values[0])


async def test_job_is_kept_until_its_client_ends_it(site: Site) -> None:
    """Guards against results that are lost because all are listed.

    A complete job was deleted after its retention time, though its client
    had not ended it and read its results again.
    """
    async with site.node('node-1') as node_1, site.node('node-2') as node_2:
        await asyncio.sleep(0.8)
        nodes = (node_1, node_2)
        job = site.job(item_count=4)
        assert await site.submit(node_1, job, 'job-1') == 202
        results = await site.results(node_1, 'job-1', 4)
        head = await site.head('job-1')
        assert head.is_kept_open
        await asyncio.sleep(2 * RETENTION_S)
        for node in nodes:
            assert await site.results(node, 'job-1', 4) == results
            assert await metric(site, node.ready, 'complete_open_jobs') == 1.0
            assert await metric(
                site, node.ready, 'oldest_complete_open_job_timestamp_seconds'
            ) == pytest.approx(head.accepted_wall_s, abs=0.01)
            # A repeated submission is answered like the first.
            assert await site.submit(node, job, 'job-1') == 202
        status, _, _ = await site.send(
            node_2, '/api/lots/job-1', method='DELETE'
        )
        assert status == 200
        await eventually(lambda: not stored_keys(site, job_rows.HEAD_TABLE))
        assert not stored_keys(site, job_rows.DATA_TABLE)
        await asyncio.sleep(0.5)
        for node in nodes:
            assert await metric(site, node.ready, 'complete_open_jobs') == 0.0
            status, _, _ = await site.send(
                node, '/api/lots/job-1?after=0', method='GET'
            )
            assert status == 404


async def test_ended_job_is_kept_for_its_retention_time(site: Site) -> None:
    """Guards against results of an ended job that are deleted at once."""
    async with site.node('node-1') as node:
        assert await site.submit(node, site.job(2), 'job-1') == 202
        results = await site.results(node, 'job-1', 2)
        for _ in range(2):
            status, _, _ = await site.send(
                node, '/api/lots/job-1', method='DELETE'
            )
            assert status == 200
            assert await site.results(node, 'job-1', 2) == results


async def test_missing_results_are_not_an_empty_page(site: Site) -> None:
    """Guards against a reader who is told that listed results do not exist.

    They may be missing for a moment while an ended job is deleted.
    """
    async with site.node('node-1') as node_1:
        assert await site.submit(node_1, site.job(2), 'job-1') == 202
        await site.results(node_1, 'job-1', 2)
        async with site.node('node-2') as node_2:
            await asyncio.sleep(0.8)
            for key in stored_keys(site, job_rows.DATA_TABLE):
                del site.store.rows[key]
            status, _, _ = await site.send(
                node_2, '/api/lots/job-1?after=0', method='GET'
            )
            assert status == 503
