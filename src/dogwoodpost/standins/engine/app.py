"""HTTP interface of the engine stand-in."""

from __future__ import annotations

import asyncio
import contextlib
from typing import Any
from typing import TYPE_CHECKING

import msgspec
from aiohttp import web

from dogwoodpost.core.routing import prompt_bytes
from dogwoodpost.standins.engine import control
from dogwoodpost.standins.engine.engine import Engine

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from aiohttp.typedefs import Handler

    from dogwoodpost.standins.engine.generation import Generation
    from dogwoodpost.standins.engine.generation import Piece
    from dogwoodpost.standins.engine.settings import EngineSettings

ENGINE = web.AppKey('engine', Engine)
_DEFAULT_MAX_TOKENS = 16
_VERSION_HEADER = 'Dogwoodpost-Weight-Version'
_MAX_BODY_BYTES = 32 * 1024 * 1024


def create_app(settings: EngineSettings) -> web.Application:
    """Return an engine; ``app[ENGINE]`` is its state."""
    app = web.Application(
        middlewares=[_reject_keys, _apply_faults],
        client_max_size=_MAX_BODY_BYTES,
    )
    app[ENGINE] = Engine(settings)
    app.router.add_post('/v1/completions', _complete)
    app.router.add_post('/v1/chat/completions', _complete)
    control.add_routes(app, app[ENGINE])
    app.cleanup_ctx.append(_run_engine)
    return app


async def _run_engine(app: web.Application) -> AsyncIterator[None]:
    task = asyncio.get_running_loop().create_task(app[ENGINE].run())
    yield
    task.cancel()
    with contextlib.suppress(asyncio.CancelledError):
        await task


@web.middleware
async def _reject_keys(
    request: web.Request, handler: Handler
) -> web.StreamResponse:
    if 'Authorization' in request.headers:
        request.app[ENGINE].key_violation_count += 1
        return web.Response(status=400, text='a key reached the engine')
    return await handler(request)


@web.middleware
async def _apply_faults(
    request: web.Request, handler: Handler
) -> web.StreamResponse:
    faults = request.app[ENGINE].faults
    if request.path.startswith('/standin/'):
        return await handler(request)
    if faults.crashed:
        _abort(request)
    await request.app[ENGINE].wait_while_hanging()
    return await handler(request)


def _abort(request: web.Request) -> None:
    if request.transport is not None:
        request.transport.abort()
    raise asyncio.CancelledError


async def _complete(request: web.Request) -> web.StreamResponse:
    engine = request.app[ENGINE]
    document = msgspec.json.decode(await request.read())
    minimum = document.get('min_weight_version') or 0
    if engine.weight_version < minimum:
        return web.json_response(
            {'error': {'message': 'the weights are too old'}}, status=409
        )
    prompt = prompt_bytes(document)
    generation = engine.submit(
        request.headers.get('X-Request-Id', ''),
        prompt,
        max_tokens=document.get('max_tokens') or _DEFAULT_MAX_TOKENS,
        priority=document.get('priority') or 0,
        resumed_tokens=len(document.get('resume_text', '').split()),
    )
    try:
        if document.get('stream'):
            return await _stream(request, generation)
        return await _answer(request, generation)
    finally:
        engine.drop(generation)


async def _answer(
    request: web.Request, generation: Generation
) -> web.StreamResponse:
    texts = []
    async for piece in _pieces(request, generation):
        texts.append(piece.text)
    version = request.app[ENGINE].weight_version
    if generation.segments:
        version = generation.segments[-1][0]
    document = {
        'id': generation.request_id,
        'choices': [
            _choice(
                request,
                ''.join(texts),
                generation.finish_reason,
                stream=False,
            )
        ],
        'weight_version': version,
        **generation.report(),
    }
    headers = {_VERSION_HEADER: str(version)}
    return web.json_response(document, headers=headers)


async def _stream(
    request: web.Request, generation: Generation
) -> web.StreamResponse:
    response = web.StreamResponse(
        headers={'Content-Type': 'text/event-stream'}
    )
    await response.prepare(request)
    faults = request.app[ENGINE].faults
    version = request.app[ENGINE].weight_version
    async for piece in _pieces(request, generation):
        version = piece.version
        choice = _choice(request, piece.text, None, stream=True)
        await _send_event(response, choice, version, {})
        cut = faults.cut_stream_after
        if cut is not None and generation.made_count >= cut:
            return response
    choice = _choice(request, '', generation.finish_reason, stream=True)
    await _send_event(response, choice, version, generation.report())
    await response.write(b'data: [DONE]\n\n')
    return response


async def _pieces(
    request: web.Request, generation: Generation
) -> AsyncIterator[Piece]:
    faults = request.app[ENGINE].faults
    while True:
        piece = await generation.pieces.get()
        await request.app[ENGINE].wait_while_hanging()
        limit = faults.break_stream_after
        broken = limit is not None and generation.made_count >= limit
        if faults.crashed or broken:
            _abort(request)
        if piece is None:
            return
        yield piece


async def _send_event(
    response: web.StreamResponse,
    choice: dict[str, Any],
    version: int,
    report: dict[str, Any],
) -> None:
    document = {'choices': [choice], 'weight_version': version, **report}
    await response.write(b'data: ' + msgspec.json.encode(document) + b'\n\n')


def _choice(
    request: web.Request, text: str, reason: str | None, *, stream: bool
) -> dict[str, Any]:
    choice: dict[str, Any] = {'index': 0, 'finish_reason': reason}
    if not request.path.startswith('/v1/chat'):
        choice['text'] = text
    elif stream:
        choice['delta'] = {'content': text}
    else:
        choice['message'] = {'role': 'assistant', 'content': text}
    return choice
