"""Starts an entry, agents and stand-ins of all external systems."""

from __future__ import annotations

from contextlib import asynccontextmanager
from contextlib import AsyncExitStack
from typing import TYPE_CHECKING

import msgspec

from dogwoodpost.config import AgentSettings
from dogwoodpost.config import EndpointSettings
from dogwoodpost.config import EntrySettings
from dogwoodpost.config import ListenAddress
from dogwoodpost.config import PlatformSettings
from dogwoodpost.services.agent.process import AgentProcess
from dogwoodpost.services.entry.process import EntryProcess
from dogwoodpost.services.http_server import serving
from dogwoodpost.services.process import running
from dogwoodpost.standins import engine
from dogwoodpost.standins import host_list
from dogwoodpost.standins import plain_service
from dogwoodpost.standins import platform_store
from dogwoodpost.standins import scorer
from dogwoodpost.standins import usage_reports
from dogwoodpost.standins import weight_store

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from aiohttp import web

MODEL_SERVICE = 'slate-lm'
PLAIN_SERVICE = 'booking-app'
REGION = 'minas'
AVAILABILITY_ZONE = 'minas-a'
USAGE_WINDOW_S = 2
_SHUTDOWN_TIMEOUT_S = 0.5
_ENGINE_COUNT = 2


class LocalSystem(msgspec.Struct, kw_only=True):
    """Handles of a running system; all its URLs are on loopback."""

    entry: EntryProcess
    engine_urls: list[str]
    plain_url: str
    usage_book: usage_reports.UsageReportsState
    weights: weight_store.WeightStoreState

    @property
    def http_url(self) -> str:
        """Return the base URL for callers and trainers."""
        return f'http://127.0.0.1:{self.entry.http_port}'


@asynccontextmanager
async def local_system(
    engine_settings: engine.EngineSettings | None = None,
) -> AsyncIterator[LocalSystem]:
    """Run the complete system in this process for the ``with`` block."""
    async with AsyncExitStack() as stack:
        usage_book = usage_reports.UsageReportsState()
        weights = weight_store.WeightStoreState()
        platform = await _start_platform(stack, usage_book, weights)
        engine_urls = [
            await _serve(
                stack,
                engine.create_app(engine_settings or engine.EngineSettings()),
            )
            for _ in range(_ENGINE_COUNT)
        ]
        plain_url = await _serve(
            stack,
            plain_service.create_app(plain_service.PlainServiceSettings()),
        )
        entry = EntryProcess(_entry_settings(platform))
        await stack.enter_async_context(running(entry))
        agents = [
            _agent_settings(f'agent-{number}', platform, MODEL_SERVICE, url)
            for number, url in enumerate(engine_urls)
        ]
        agents.append(
            _agent_settings('agent-plain', platform, PLAIN_SERVICE, plain_url)
        )
        for settings in agents:
            await stack.enter_async_context(running(AgentProcess(settings)))
        yield LocalSystem(
            entry=entry,
            engine_urls=engine_urls,
            plain_url=plain_url,
            usage_book=usage_book,
            weights=weights,
        )


async def _start_platform(
    stack: AsyncExitStack,
    usage_book: usage_reports.UsageReportsState,
    weights: weight_store.WeightStoreState,
) -> PlatformSettings:
    store_url = await _serve(stack, platform_store.create_app())
    return PlatformSettings.model_validate(
        {
            'table_store_url': store_url,
            'object_store_url': store_url,
            'host_list_url': await _serve(stack, host_list.create_app()),
            'usage_reports_url': await _serve(
                stack, usage_reports.create_app(usage_book)
            ),
            'weight_store_url': await _serve(
                stack, weight_store.create_app(weights)
            ),
            'scorer_url': await _serve(stack, scorer.create_app()),
        }
    )


async def _serve(stack: AsyncExitStack, app: web.Application) -> str:
    port = await stack.enter_async_context(
        serving(app, ListenAddress(), shutdown_timeout_s=_SHUTDOWN_TIMEOUT_S)
    )
    return f'http://127.0.0.1:{port}'


def _entry_settings(platform: PlatformSettings) -> EntrySettings:
    return EntrySettings(
        process_id='entry-1',
        host_id='host-entry-1',
        region=REGION,
        availability_zone=AVAILABILITY_ZONE,
        platform=platform,
        usage_window_s=USAGE_WINDOW_S,
        drain_timeout_s=5.0,
    )


def _agent_settings(
    process_id: str, platform: PlatformSettings, service: str, url: str
) -> AgentSettings:
    endpoint = EndpointSettings.model_validate(
        {
            'endpoint_id': f'{process_id}-endpoint',
            'service': service,
            'url': url,
        }
    )
    return AgentSettings(
        process_id=process_id,
        host_id=f'host-{process_id}',
        region=REGION,
        availability_zone=AVAILABILITY_ZONE,
        platform=platform,
        endpoints=[endpoint],
        drain_timeout_s=5.0,
    )
