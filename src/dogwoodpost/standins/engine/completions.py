"""``POST /v1/completions`` and ``POST /v1/chat/completions``."""

from __future__ import annotations

import asyncio
import time
from typing import Any
from typing import TYPE_CHECKING

import msgspec
from aiohttp import web

from dogwoodpost.standins.engine.completion_request import read_completion
from dogwoodpost.standins.engine.engine import DEADLINE_PASSED

if TYPE_CHECKING:
    from dogwoodpost.standins.engine.completion_request import (
        CompletionRequest,
    )
    from dogwoodpost.standins.engine.engine import Engine

WEIGHT_VERSION_HEADER = 'Dogwoodpost-Weight-Version'
PRIORITY_HEADER = 'X-Request-Priority'
REQUEST_ID_HEADER = 'X-Request-Id'
TIMEOUT_HEADER = 'X-Request-Timeout-Ms'
_KEEP_ALIVE_EVENT = b': keep-alive\n\n'
# JSON allows whitespace before the document.
_KEEP_ALIVE_SPACE = b'\n'
# 408 rather than 504, which callers take for an engine failure.
_FAILURE_STATUS = {DEADLINE_PASSED: 408}
_CANCELLED_STATUS = 499
# Part of the time limit reserved for sending a partial response, which must
# arrive before the caller's own time limit.
_PARTIAL_MARGIN_FRACTION = 0.2


class Completions:
    """Serves completion requests of one engine."""

    def __init__(self, engine: Engine) -> None:
        self._engine = engine

    async def complete(self, request: web.Request) -> web.StreamResponse:
        """Serve ``POST /v1/completions``."""
        return await self._serve(request, is_chat=False)

    async def chat(self, request: web.Request) -> web.StreamResponse:
        """Serve ``POST /v1/chat/completions``."""
        return await self._serve(request, is_chat=True)

    async def _serve(
        self, request: web.Request, *, is_chat: bool
    ) -> web.StreamResponse:
        completion = read_completion(
            await request.read(),
            is_chat=is_chat,
            request_id=request.headers.get(REQUEST_ID_HEADER, ''),
            priority=_integer_header(request, PRIORITY_HEADER) or 0,
            timeout_s=_timeout_s(request),
        )
        completion_response = _CompletionResponse(
            self._engine, request, completion
        )
        return await completion_response.run()


class _CompletionResponse:
    """Sends the response to one request."""

    def __init__(
        self,
        engine: Engine,
        request: web.Request,
        completion: CompletionRequest,
    ) -> None:
        self._engine = engine
        self._request = request
        self._completion = completion
        self._generation = engine.start(completion)
        self._crash_count = engine.crash_count
        self._deadline_s: float | None = None
        if completion.timeout_s is not None:
            margin = (
                _PARTIAL_MARGIN_FRACTION
                if completion.partial_on_timeout
                else 0.0
            )
            self._deadline_s = time.monotonic() + completion.timeout_s * (
                1.0 - margin
            )

    async def run(self) -> web.StreamResponse:
        try:
            if self._completion.stream:
                return await self._send_stream()
            return await self._send_document()
        finally:
            if not self._crashed():
                self._engine.finish(self._generation)

    async def _send_stream(self) -> web.StreamResponse:
        generation = self._generation
        response = await self._open_response('text/event-stream')
        break_after = self._take_break_fault()
        sent_count = 0
        while not generation.is_finished or sent_count < len(
            generation.tokens
        ):
            if (
                sent_count == len(generation.tokens)
                and not await self._wait_for_progress()
            ):
                await response.write(_KEEP_ALIVE_EVENT)
            while sent_count < len(generation.tokens):
                if break_after is not None and sent_count >= break_after:
                    return _abort_connection(self._request, response)
                end = _event_end(generation.versions, sent_count, break_after)
                await response.write(_event(self._chunk(sent_count, end)))
                sent_count = end
        if self._crashed() or break_after is not None:
            return _abort_connection(self._request, response)
        if generation.failure is not None and not self._returns_partial_text():
            error = {'code': generation.failure, 'message': 'not completed'}
            await response.write(_event({'error': error}))
        else:
            await response.write(_event(self._last_chunk()))
            await response.write(b'data: [DONE]\n\n')
        await response.write_eof()
        return response

    async def _send_document(self) -> web.StreamResponse:
        generation = self._generation
        response: web.StreamResponse | None = None
        while not generation.is_finished:
            if await self._wait_for_progress():
                continue
            if response is None:
                response = await self._open_response('application/json')
            await response.write(_KEEP_ALIVE_SPACE)
        failed = (
            generation.failure is not None and not self._returns_partial_text()
        )
        if self._crashed() or (failed and response is not None):
            return _abort_connection(self._request, response)
        if failed:
            return self._failure_response()
        body = msgspec.json.encode(self._document())
        if response is None:
            return web.Response(
                body=body,
                content_type='application/json',
                headers={WEIGHT_VERSION_HEADER: str(self._last_version())},
            )
        await response.write_eof(body)
        return response

    async def _wait_for_progress(self) -> bool:
        """Wait for progress; return False if a keep-alive is due."""
        generation = self._generation
        timeout_s = self._engine.settings.keep_alive_s
        if self._deadline_s is not None:
            timeout_s = min(timeout_s, self._deadline_s - time.monotonic())
        try:
            async with asyncio.timeout(max(0.0, timeout_s)):
                await generation.changed.wait()
            generation.changed.clear()
        except TimeoutError:
            await self._engine.responsive.wait()
            if self._crashed():
                return True
            if not self._deadline_passed():
                return False
            generation.fail(DEADLINE_PASSED)
        await self._engine.responsive.wait()
        return True

    def _deadline_passed(self) -> bool:
        return (
            self._deadline_s is not None
            and time.monotonic() >= self._deadline_s
        )

    def _crashed(self) -> bool:
        return self._engine.crash_count != self._crash_count

    def _returns_partial_text(self) -> bool:
        return (
            self._completion.partial_on_timeout
            and self._generation.failure == DEADLINE_PASSED
        )

    def _take_break_fault(self) -> int | None:
        faults = self._engine.faults
        if faults.consume('break_stream_count'):
            return faults.break_after_tokens
        return None

    async def _open_response(self, content_type: str) -> web.StreamResponse:
        response = web.StreamResponse(
            headers={WEIGHT_VERSION_HEADER: str(self._last_version())}
        )
        response.content_type = content_type
        await response.prepare(self._request)
        return response

    def _failure_response(self) -> web.Response:
        code = self._generation.failure or ''
        return web.json_response(
            {'error': {'code': code, 'message': 'not completed'}},
            status=_FAILURE_STATUS.get(code, _CANCELLED_STATUS),
        )

    def _last_version(self) -> int:
        versions = self._generation.versions
        return versions[-1] if versions else self._engine.state.weight_version

    def _chunk(self, start: int, end: int) -> dict[str, Any]:
        text = ''.join(self._generation.tokens[start:end])
        version = self._generation.versions[start]
        return self._envelope([self._choice('delta', text)], version)

    def _last_chunk(self) -> dict[str, Any]:
        choice = self._choice('delta', '')
        choice['finish_reason'] = self._generation.finish_reason
        return (
            self._envelope([choice], self._last_version())
            | self._final_fields()
        )

    def _document(self) -> dict[str, Any]:
        choice = self._choice('message', self._generation.text)
        choice['finish_reason'] = self._generation.finish_reason
        return (
            self._envelope([choice], self._last_version())
            | self._final_fields()
        )

    def _choice(self, chat_field: str, text: str) -> dict[str, Any]:
        choice: dict[str, Any] = {'index': 0, 'finish_reason': None}
        if self._completion.is_chat:
            choice[chat_field] = {'role': 'assistant', 'content': text}
        else:
            choice['text'] = text
        return choice

    def _envelope(
        self, choices: list[dict[str, Any]], version: int
    ) -> dict[str, Any]:
        return {
            'id': self._completion.request_id,
            'model': self._completion.model or self._engine.settings.model,
            'weight_version': version,
            'choices': choices,
        }

    def _final_fields(self) -> dict[str, Any]:
        generation = self._generation
        completion_tokens = len(generation.tokens)
        return {
            'usage': {
                'prompt_tokens': generation.prompt_tokens,
                'completion_tokens': completion_tokens,
                'total_tokens': generation.prompt_tokens + completion_tokens,
                'prompt_tokens_details': {
                    'cached_tokens': generation.cached_tokens
                },
            },
            'weight_segments': generation.segments(),
        }


def _event_end(
    versions: list[int], start: int, break_after: int | None
) -> int:
    """Return the end index of the tokens that go into one event.

    All tokens of an event have the same weight version.
    """
    last = len(versions)
    if break_after is not None:
        last = min(last, break_after)
    end = start + 1
    while end < last and versions[end] == versions[start]:
        end += 1
    return end


def _event(document: dict[str, Any]) -> bytes:
    return b'data: ' + msgspec.json.encode(document) + b'\n\n'


def _abort_connection(
    request: web.Request, response: web.StreamResponse | None
) -> web.StreamResponse:
    """Abort the connection, so that the body is seen to be incomplete."""
    if request.transport is not None:
        request.transport.abort()
    return response or web.Response(status=500)


def _integer_header(request: web.Request, name: str) -> int | None:
    try:
        return int(request.headers[name])
    except (KeyError, ValueError):
        return None


def _timeout_s(request: web.Request) -> float | None:
    timeout_ms = _integer_header(request, TIMEOUT_HEADER)
    return None if timeout_ms is None else timeout_ms / 1000
