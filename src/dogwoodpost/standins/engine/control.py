"""Handlers of the control paths of the engine."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING
from typing import TypeVar

import msgspec
from aiohttp import web

from dogwoodpost.standins.engine.engine_refusal import EngineRefusal
from dogwoodpost.standins.engine.faults import EngineFaults
from dogwoodpost.standins.engine.kv_store import KvExport

if TYPE_CHECKING:
    from dogwoodpost.standins.engine.engine import Engine

_Body = TypeVar('_Body')


class CancelBody(msgspec.Struct):
    """Body of ``POST /control/cancel``."""

    request_id: str


class WeightOrder(msgspec.Struct):
    """Body of ``POST /control/weights/load`` and ``/control/weights/switch``.

    The version is an integer or a string of digits.
    """

    weight_version: int | str
    fencing_number: int | None = None


class ModelOrder(msgspec.Struct):
    """Body of ``POST /control/models/load``."""

    model: str
    fencing_number: int | None = None


class AdapterOrder(msgspec.Struct):
    """Body of ``POST /control/adapters/load``."""

    adapter: str
    fencing_number: int | None = None


class RoleOrder(msgspec.Struct):
    """Body of ``POST /control/role``."""

    role: str
    fencing_number: int | None = None


class Control:
    """Serves the control paths of one engine."""

    def __init__(self, engine: Engine) -> None:
        self._engine = engine

    async def cancel(self, request: web.Request) -> web.Response:
        """Cancel a request; an unknown id has no effect."""
        body = await _body(request, CancelBody)
        was_cancelled = self._engine.cancel(body.request_id)
        return _json({'cancelled': was_cancelled})

    async def load(self, request: web.Request) -> web.Response:
        """Return the load and what the engine has loaded."""
        del request
        engine = self._engine
        return _json(
            {
                'running_count': engine.batch.running_count,
                'waiting_count': engine.batch.waiting_count,
                'running_tokens': engine.batch.running_tokens,
                'age_ms': 0,
                'cached_blocks': len(engine.cache),
                'weight_version': engine.state.weight_version,
                'loaded_versions': sorted(engine.state.loaded_versions),
                'models': sorted(engine.state.models),
                'adapters': sorted(engine.state.adapters),
                'role': engine.state.role,
            }
        )

    async def cache_events(self, request: web.Request) -> web.Response:
        """Return the cache events after a sequence number."""
        try:
            after = int(request.query.get('after', '0'))
        except ValueError as error:
            raise _malformed('after is not a number') from error
        return _json(self._engine.cache.events(after))

    async def load_weights(self, request: web.Request) -> web.Response:
        """Load a weight version in addition to the one in use."""
        order = await _body(request, WeightOrder)
        self._check_weight_order(order.fencing_number)
        version = _version(order)
        state = self._engine.state
        await asyncio.sleep(self._engine.settings.load_s)
        # A crash during the load replaces the state, so the version is lost.
        state.add_version(version)
        return _json({})

    async def switch_weights(self, request: web.Request) -> web.Response:
        """Switch to a loaded weight version."""
        order = await _body(request, WeightOrder)
        self._check_weight_order(order.fencing_number)
        self._engine.switch_weights(_version(order))
        return _json({})

    async def load_model(self, request: web.Request) -> web.Response:
        """Load a model in addition to the others."""
        order = await _body(request, ModelOrder)
        self._engine.state.check_fencing(order.fencing_number)
        self._engine.state.models.add(order.model)
        return _json({})

    async def load_adapter(self, request: web.Request) -> web.Response:
        """Load an adapter."""
        order = await _body(request, AdapterOrder)
        self._engine.state.check_fencing(order.fencing_number)
        self._engine.state.adapters.add(order.adapter)
        return _json({})

    async def set_role(self, request: web.Request) -> web.Response:
        """Change the role."""
        order = await _body(request, RoleOrder)
        self._engine.state.check_fencing(order.fencing_number)
        self._engine.state.set_role(order.role)
        self._engine.batch.role = order.role
        return _json({})

    async def export_kv(self, request: web.Request) -> web.Response:
        """Return the KV cache of a request."""
        export = self._engine.export_kv(request.match_info['request_id'])
        if export is None:
            raise EngineRefusal(404, 'unknown_request', 'no such request')
        return _json(export)

    async def import_kv(self, request: web.Request) -> web.Response:
        """Store the KV cache of a request from another engine."""
        export = await _body(request, KvExport)
        if export.request_id != request.match_info['request_id']:
            raise _malformed('the path names another request')
        self._engine.import_kv(export)
        return _json({})

    async def set_faults(self, request: web.Request) -> web.Response:
        """Replace all faults."""
        self._engine.set_faults(await _body(request, EngineFaults))
        return _json({})

    async def counters(self, request: web.Request) -> web.Response:
        """Return the counters."""
        del request
        return _json(self._engine.counters)

    def _check_weight_order(self, fencing_number: int | None) -> None:
        self._engine.state.check_fencing(fencing_number)
        if self._engine.faults.consume('refuse_swap_count'):
            raise EngineRefusal(503, 'swap_refused', 'refused by a fault')
        self._engine.counters.order_count += 1


async def _body(request: web.Request, body_type: type[_Body]) -> _Body:
    try:
        return msgspec.json.decode(await request.read(), type=body_type)
    except msgspec.MsgspecError as error:
        raise _malformed(str(error)) from error


def _version(order: WeightOrder) -> int:
    try:
        return int(order.weight_version)
    except ValueError as error:
        raise _malformed('weight_version is not a number') from error


def _malformed(message: str) -> EngineRefusal:
    return EngineRefusal(400, 'malformed_request', message)


def _json(document: object) -> web.Response:
    return web.Response(
        body=msgspec.json.encode(document), content_type='application/json'
    )
