"""Stand-in for a plain service, such as a booking service."""

from __future__ import annotations

import asyncio
from collections import Counter

from aiohttp import web

_MAX_BODY_BYTES = 32 * 1024 * 1024


class PlainServiceState:
    """What a plain service has done, and its faults.

    ``break_after_run`` closes the connection after the request has run.
    """

    def __init__(self) -> None:
        self.executions: Counter[str] = Counter()
        self.key_violation_count = 0
        self.delay_s = 0.0
        self.break_after_run = False


STATE = web.AppKey('state', PlainServiceState)


def create_app() -> web.Application:
    """Return a service that echoes each request; ``app[STATE]`` counts."""
    app = web.Application(client_max_size=_MAX_BODY_BYTES)
    app[STATE] = PlainServiceState()
    app.router.add_get('/standin/state', _report)
    app.router.add_route('*', '/{path:.*}', _echo)
    return app


async def _echo(request: web.Request) -> web.StreamResponse:
    state = request.app[STATE]
    if request.path.startswith('/control/'):
        return web.Response(status=404)
    if 'Authorization' in request.headers:
        state.key_violation_count += 1
        return web.Response(status=400, text='a key reached the service')
    body = await request.read()
    request_id = request.headers.get('X-Request-Id', '')
    state.executions[request_id] += 1
    if state.delay_s:
        await asyncio.sleep(state.delay_s)
    if state.break_after_run and request.transport is not None:
        request.transport.abort()
    return web.json_response(
        {
            'method': request.method,
            'path': request.path_qs,
            'body': body.decode(errors='replace'),
            'request_id': request_id,
            'execution_count': state.executions[request_id],
        }
    )


async def _report(request: web.Request) -> web.Response:
    state = request.app[STATE]
    return web.json_response(
        {
            'key_violation_count': state.key_violation_count,
            'executions': dict(state.executions),
        }
    )
