"""Sessions as the own deployment opens them."""

from __future__ import annotations

from contextlib import AbstractAsyncContextManager

import aiohttp

from dogwoodpost.adapters.http.endpoint_session import endpoint_session
from dogwoodpost.adapters.platform.platform_session import platform_session
from dogwoodpost.config.settings import PlatformSettings
from dogwoodpost.observability import Metrics

OpenSession = AbstractAsyncContextManager[aiohttp.ClientSession]


def session_to_endpoints() -> OpenSession:
    return endpoint_session(Metrics())


def session_to_the_store() -> OpenSession:
    settings = PlatformSettings.model_validate(
        {
            'table_store_url': 'http://127.0.0.1:1',
            'object_store_url': 'http://127.0.0.1:1',
        }
    )
    return platform_session(settings, Metrics())
