"""A client of the entry's HTTP interface."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest
from aiohttp.test_utils import TestClient
from aiohttp.test_utils import TestServer

from dogwoodpost.config import EntrySettings
from dogwoodpost.services.entry.http import create_app

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from conftest import FakeConfiguration

    from dogwoodpost.observability import Metrics
    from dogwoodpost.services.entry.request_pipeline import RequestPipeline


@pytest.fixture
def settings() -> EntrySettings:
    return EntrySettings.model_validate(
        {
            'process_id': 'entry-1',
            'host_id': 'host-1',
            'region': 'r',
            'availability_zone': 'a',
            'max_header_bytes': 4_096,
            'max_body_bytes': 8_192,
            'body_timeout_s': 0.2,
            'platform': {
                'table_store_url': 'http://127.0.0.1:1',
                'object_store_url': 'http://127.0.0.1:1',
            },
        }
    )


@pytest.fixture
async def client(
    pipeline: RequestPipeline,
    configuration: FakeConfiguration,
    metrics: Metrics,
    settings: EntrySettings,
) -> AsyncIterator[TestClient]:
    app = create_app(pipeline, configuration, metrics, settings)
    async with TestClient(TestServer(app)) as client:
        yield client
