"""HTTP application of the engine stand-in."""

from __future__ import annotations

import asyncio
from contextlib import suppress
from typing import TYPE_CHECKING

from aiohttp import web

from dogwoodpost.standins.engine.completions import Completions
from dogwoodpost.standins.engine.control import Control
from dogwoodpost.standins.engine.engine import Engine
from dogwoodpost.standins.engine.engine_refusal import EngineRefusal
from dogwoodpost.standins.engine.request_counters import SecretDetector
from dogwoodpost.standins.engine.settings import EngineSettings

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from collections.abc import Awaitable
    from collections.abc import Callable

    Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]

ENGINE = web.AppKey('engine', Engine)
MAX_BODY_BYTES = 64 * 1024 * 1024
# Served under every fault, so that tests can clear it and read the counters.
_FAULT_EXEMPT_PATHS = ('/control/faults', '/control/counters')


def create_app(settings: EngineSettings | None = None) -> web.Application:
    """Return an application that serves one engine."""
    engine = Engine(settings or EngineSettings())
    app = web.Application(
        client_max_size=MAX_BODY_BYTES,
        middlewares=[_report_refusals, _count_secrets, _apply_faults],
        # A disconnect of the caller cancels its request.
        handler_args={'handler_cancellation': True},
    )
    app[ENGINE] = engine
    app.cleanup_ctx.append(_run_engine)
    _add_routes(app, engine)
    return app


def _add_routes(app: web.Application, engine: Engine) -> None:
    completions = Completions(engine)
    control = Control(engine)
    router = app.router
    router.add_post('/v1/completions', completions.complete)
    router.add_post('/v1/chat/completions', completions.chat)
    router.add_post('/control/cancel', control.cancel)
    router.add_get('/control/load', control.load)
    router.add_get('/control/cache_events', control.cache_events)
    router.add_post('/control/weights/load', control.load_weights)
    router.add_post('/control/weights/switch', control.switch_weights)
    router.add_post('/control/models/load', control.load_model)
    router.add_post('/control/adapters/load', control.load_adapter)
    router.add_post('/control/role', control.set_role)
    router.add_get('/control/kv/{request_id}', control.export_kv)
    router.add_put('/control/kv/{request_id}', control.import_kv)
    router.add_post('/control/faults', control.set_faults)
    router.add_get('/control/counters', control.counters)


async def _run_engine(app: web.Application) -> AsyncIterator[None]:
    task = asyncio.create_task(app[ENGINE].run())
    yield
    task.cancel()
    with suppress(asyncio.CancelledError):
        await task


@web.middleware
async def _report_refusals(
    request: web.Request, handler: Handler
) -> web.StreamResponse:
    try:
        return await handler(request)
    except EngineRefusal as refusal:
        return web.json_response(refusal.document(), status=refusal.status)


@web.middleware
async def _count_secrets(
    request: web.Request, handler: Handler
) -> web.StreamResponse:
    engine = request.app[ENGINE]
    detector = SecretDetector(engine.settings.known_secrets)
    if detector.finds_secret(
        request.raw_path, request.headers.items(), await request.read()
    ):
        engine.counters.secret_count += 1
    return await handler(request)


@web.middleware
async def _apply_faults(
    request: web.Request, handler: Handler
) -> web.StreamResponse:
    engine = request.app[ENGINE]
    if request.path in _FAULT_EXEMPT_PATHS:
        return await handler(request)
    await engine.responsive.wait()
    crash_count = engine.crash_count
    if not engine.faults.crashed:
        response = await handler(request)
        if engine.crash_count == crash_count:
            return response
    if request.transport is not None:
        request.transport.abort()
    return web.Response(status=500)
