"""HTTP interface for trainers."""

from __future__ import annotations

import asyncio
import functools
from typing import TYPE_CHECKING
from typing import TypeVar

import msgspec
from aiohttp import web

from dogwoodpost.core import ids
from dogwoodpost.core.decoding import decode_json
from dogwoodpost.core.rollouts.step_spec import StepSpec
from dogwoodpost.core.rollouts.trainer_api import Acknowledgement
from dogwoodpost.core.rollouts.trainer_api import ErrorDetail
from dogwoodpost.core.rollouts.trainer_api import ErrorReply
from dogwoodpost.core.rollouts.trainer_api import FetchReply
from dogwoodpost.core.rollouts.trainer_api import PATH_PREFIX
from dogwoodpost.core.rollouts.trainer_api import StepSubmission
from dogwoodpost.errors import LeaseLostError
from dogwoodpost.errors import MalformedDataError
from dogwoodpost.errors import RequestError
from dogwoodpost.errors import StoreError

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from dogwoodpost.ports.clock import Clock
    from dogwoodpost.services.rollouts.rollout_service import RolloutService
    from dogwoodpost.services.rollouts.trainer_rollouts import TrainerRollouts

    Authenticate = Callable[[web.Request], ids.ClientAccountId]
    Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]

_Body = TypeVar('_Body', bound=msgspec.Struct)

MAX_WAIT_S = 20.0
# Longer than a lease and a few retries. After the timeout the trainer tries
# another entry.
HANDLER_TIMEOUT_S = 15.0


def add_rollout_routes(
    app: web.Application,
    *,
    service: RolloutService,
    clock: Clock,
    authenticate: Authenticate,
) -> None:
    """Register the routes under ``/rollouts/v1/``.

    :param authenticate: returns the client account of a request's key, or
        raises ``RequestError``.
    """
    routes = _RolloutRoutes(service, clock, authenticate)
    trainer_path = PATH_PREFIX + '/trainers/{trainer}'
    app.router.add_post(
        f'{trainer_path}/steps', _with_error_responses(routes.submit)
    )
    app.router.add_get(
        f'{trainer_path}/steps/{{step}}', _with_error_responses(routes.step)
    )
    app.router.add_get(
        f'{trainer_path}/batches', _with_error_responses(routes.fetch)
    )
    app.router.add_post(
        f'{trainer_path}/batches/{{batch}}/ack',
        _with_error_responses(routes.acknowledge),
    )


class _RolloutRoutes:
    def __init__(
        self, service: RolloutService, clock: Clock, authenticate: Authenticate
    ) -> None:
        self._service = service
        self._clock = clock
        self._authenticate = authenticate

    async def submit(self, request: web.Request) -> web.Response:
        account = self._authenticate(request)
        body = await _decode_body(request, StepSubmission)
        spec = StepSpec(
            trainer_id=_trainer_id(request),
            client_account_id=account,
            **msgspec.structs.asdict(body),
        )
        findings = spec.findings()
        if findings:
            raise _bad_request('; '.join(map(str, findings)))
        trainer = await self._trainer(request)
        async with asyncio.timeout(HANDLER_TIMEOUT_S):
            return _json_response(await trainer.submit(spec), status=201)

    async def step(self, request: web.Request) -> web.Response:
        account = self._authenticate(request)
        trainer = await self._trainer(request)
        step_id = ids.StepId(request.match_info['step'])
        return _json_response(trainer.step_view(account, step_id))

    async def fetch(self, request: web.Request) -> web.Response:
        account = self._authenticate(request)
        cursor = _query_number(request, 'after', 0)
        version = ids.WeightVersion(
            _query_number(request, 'weight_version', 0)
        )
        resumed = _query_number(request, 'resumed', 0) == 1
        wait_s = min(_query_number(request, 'wait_ms', 0) / 1000, MAX_WAIT_S)
        begun_s = self._clock.monotonic_s()
        while True:
            trainer = await self._trainer(request)
            async with asyncio.timeout(HANDLER_TIMEOUT_S):
                batch = await trainer.fetch(
                    account, cursor, version, resumed=resumed
                )
            held_s = self._clock.monotonic_s() - begun_s
            if batch is not None or held_s >= wait_s:
                return _json_response(FetchReply(batch=batch, held_s=held_s))
            await trainer.wait_for_batch(wait_s - held_s)

    async def acknowledge(self, request: web.Request) -> web.Response:
        account = self._authenticate(request)
        body = await _decode_body(request, Acknowledgement)
        batch_id = ids.BatchId(request.match_info['batch'])
        trainer = await self._trainer(request)
        async with asyncio.timeout(HANDLER_TIMEOUT_S):
            await trainer.acknowledge(
                account, batch_id, received=body.received
            )
        return _json_response(body)

    async def _trainer(self, request: web.Request) -> TrainerRollouts:
        async with asyncio.timeout(HANDLER_TIMEOUT_S):
            return await self._service.trainer(_trainer_id(request))


def _with_error_responses(handler: Handler) -> Handler:
    """Return a handler that turns errors into error responses."""

    @functools.wraps(handler)
    async def handle(request: web.Request) -> web.StreamResponse:
        try:
            return await handler(request)
        except RequestError as error:
            return _error_response(error)
        except LeaseLostError:
            return _error_response(
                _unavailable('not_owner', 'another entry owns the trainer')
            )
        except (StoreError, TimeoutError):
            return _error_response(
                _unavailable('store_unavailable', 'the store is unavailable')
            )

    return handle


async def _decode_body(request: web.Request, body_type: type[_Body]) -> _Body:
    data = await request.read()
    try:
        return decode_json(data or b'{}', body_type)
    except MalformedDataError as error:
        raise _bad_request(str(error)) from None


def _trainer_id(request: web.Request) -> ids.TrainerId:
    return ids.TrainerId(request.match_info['trainer'])


def _query_number(request: web.Request, name: str, default: int) -> int:
    text = request.query.get(name, '') or str(default)
    if not text.isdecimal() or len(text) > 18:
        raise _bad_request(f'{name}: found {text!r}; expected a number')
    return int(text)


def _bad_request(message: str) -> RequestError:
    return RequestError('bad_request', message, status=400, not_run=True)


def _unavailable(code: str, message: str) -> RequestError:
    return RequestError(code, message, status=503, retry_after_s=1.0)


def _json_response(body: msgspec.Struct, *, status: int = 200) -> web.Response:
    return web.Response(
        status=status,
        body=msgspec.json.encode(body),
        content_type='application/json',
    )


def _error_response(error: RequestError) -> web.Response:
    detail = ErrorDetail(
        code=error.code,
        message=str(error),
        not_run=error.not_run,
        retry_after_s=error.retry_after_s,
    )
    response = _json_response(ErrorReply(error=detail), status=error.status)
    if error.retry_after_s is not None:
        response.headers['Retry-After'] = str(
            max(1, round(error.retry_after_s))
        )
    return response
