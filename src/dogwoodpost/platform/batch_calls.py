"""HTTP API of batch jobs, which the platform calls lots."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
from aiohttp import web

from dogwoodpost.core import ids
from dogwoodpost.core.batches import BatchItem
from dogwoodpost.core.batches import BatchJob
from dogwoodpost.core.batches import ScorerCall
from dogwoodpost.core.batches.job_memory import decoding_memory_bytes
from dogwoodpost.core.decoding import BoundedInteger
from dogwoodpost.core.decoding import decode_json
from dogwoodpost.core.decoding import MAX_INTEGER
from dogwoodpost.core.http_headers import is_header
from dogwoodpost.core.http_headers import is_header_value
from dogwoodpost.core.http_headers import is_request_target
from dogwoodpost.errors import MalformedDataError
from dogwoodpost.errors import MemoryExceededError
from dogwoodpost.errors import RequestError
from dogwoodpost.platform import header_names
from dogwoodpost.platform.job_forwarding import submission_to_forward
from dogwoodpost.platform.request_reader import request_id_of
from dogwoodpost.platform.request_reader import time_limit_s
from dogwoodpost.services.entry.http.active_requests import RequestPhase
from dogwoodpost.services.entry.refusals import memory_refusal

if TYPE_CHECKING:
    from collections.abc import Mapping

    from dogwoodpost.core.configuration import Route
    from dogwoodpost.platform.request_reader import PlatformRequestReader
    from dogwoodpost.ports.clock import Clock
    from dogwoodpost.services.batches.batch_service import BatchService
    from dogwoodpost.services.batches.job_reader import ResultPage
    from dogwoodpost.services.entry.http.active_requests import ActiveRequest
    from dogwoodpost.services.entry.http.authentication import Authenticator

_MS_PER_S = 1_000
_MAX_WAIT_S = 2.0
_WRITE_TIME_LIMIT_S = 4.0
_RESPONSE_TIME_S = 0.3


class _WireScorer(msgspec.Struct, frozen=True):
    id: str
    host: str
    path: str
    body: bytes = b''


class _WireItem(msgspec.Struct, frozen=True):
    """An item of a submitted job.

    :param tokens: sum of the prompt tokens and the longest output's tokens.
    """

    id: str
    path: str
    headers: dict[str, str] = {}
    body: bytes = b''
    tokens: BoundedInteger = 0
    group: str | None = None
    scorer: _WireScorer | None = None


class _WireJob(msgspec.Struct, frozen=True, rename='camel'):
    """A submitted job.

    :param desired: number of groups that the trainer waits for.
    """

    requests: list[_WireItem]
    step: BoundedInteger | None = None
    model: str | None = None
    min_version: BoundedInteger | None = None
    desired: BoundedInteger | None = None


class _WireResult(msgspec.Struct, frozen=True, omit_defaults=True):
    id: str
    state: str
    text: str | None = None
    versions: tuple[int, ...] | None = None
    score: str | None = None


class _WirePage(msgspec.Struct, frozen=True):
    total: int
    next: int
    results: list[_WireResult]


class BatchCalls:
    """Handlers of the batch job API."""

    def __init__(
        self,
        reader: PlatformRequestReader,
        authenticator: Authenticator,
        batches: BatchService,
        clock: Clock,
    ) -> None:
        self._reader = reader
        self._authenticator = authenticator
        self._batches = batches
        self._clock = clock

    async def submit(
        self, request: web.Request, active: ActiveRequest, route: Route
    ) -> web.Response:
        """Accept a batch job.

        :raises RequestError: the request is refused, or its outcome is
            unknown.
        """
        start_s = self._clock.monotonic_s()
        timeout_s = min(time_limit_s(request, route), _WRITE_TIME_LIMIT_S)
        identity = self._reader.identify(request, route, active)
        self._reader.check_time(timeout_s)
        job_id = ids.JobId(request_id_of(request))
        active.request_id = job_id
        with self._reader.memory.reservation() as reservation:
            body = await reservation.read(
                request, route.max_body_bytes, timeout_s
            )
            with self._batches.memory.reservation() as memory:
                try:
                    memory.grow(decoding_memory_bytes(body))
                except MemoryExceededError as error:
                    raise memory_refusal(error) from error
                job = _decode_job(
                    body,
                    job_id,
                    request.headers.get('Host', ''),
                    route,
                    identity.client_account_id if identity else None,
                    self._clock.wall_s(),
                )
                # From here on, the store may have the job.
                active.phase = RequestPhase.RUNNING
                await self._batches.submit(
                    job,
                    start_s + timeout_s,
                    submission_to_forward(request, body),
                    memory,
                )
        return web.Response(status=202)

    async def results(
        self, request: web.Request, active: ActiveRequest
    ) -> web.Response:
        """Return a page of results of a batch job, from a position on.

        :raises RequestError: the request is refused, there is no such job, or
            its results can't be read.
        """
        job_id, account_id = self._identify_job(request, active)
        first_position = _non_negative_int(request.query.get('after', '0'))
        wait_ms = _non_negative_int(
            request.headers.get(header_names.WAIT_MS, '0')
        )
        page = await self._batches.reader.results(
            job_id,
            account_id,
            first_position,
            min(wait_ms / _MS_PER_S, _MAX_WAIT_S, self._left_s()),
        )
        return web.Response(
            body=msgspec.json.encode(_to_wire_page(page)),
            content_type='application/json',
        )

    async def item_body(
        self, request: web.Request, active: ActiveRequest
    ) -> web.Response:
        """Return the body of an item of an open job.

        :raises RequestError: the request is refused, there is no such item, or
            it can't be read.
        """
        job_id, account_id = self._identify_job(request, active)
        item_id = ids.ItemId(request.query.get('id', ''))
        body = await self._batches.reader.item_body(
            job_id, account_id, item_id
        )
        return web.Response(body=body)

    async def end(
        self, request: web.Request, active: ActiveRequest
    ) -> web.Response:
        """End a batch job; ending it twice is no error.

        :raises RequestError: the request is refused, there is no such job, or
            the store did not confirm its end.
        """
        job_id, account_id = self._identify_job(request, active)
        limit_s = min(_WRITE_TIME_LIMIT_S, self._left_s())
        deadline_s = self._clock.monotonic_s() + limit_s
        # From here on, the store may have the end of the job.
        active.phase = RequestPhase.RUNNING
        await self._batches.end(job_id, account_id, deadline_s)
        return web.Response(status=200)

    def _left_s(self) -> float:
        """Return the time until a stop cuts calls, less that of a response."""
        left_s = self._reader.lifecycle.left_s(self._clock.monotonic_s())
        return max(left_s - _RESPONSE_TIME_S, 0.0)

    def _identify_job(
        self, request: web.Request, active: ActiveRequest
    ) -> tuple[ids.JobId, ids.ClientAccountId | None]:
        """Return the job id in the path and the caller's client account."""
        job_id = ids.JobId(request.match_info['job_id'])
        active.request_id = job_id
        return job_id, self._identify_account(request, active)

    def _identify_account(
        self, request: web.Request, active: ActiveRequest
    ) -> ids.ClientAccountId | None:
        """Return the caller's client account, None if there are no accounts.

        These calls match no route, so no route decides on their access.
        """
        self._reader.check_configured()
        if not self._reader.has_client_accounts():
            return None
        active.identity = self._authenticator.identify(request)
        return active.identity.client_account_id


def _decode_job(
    body: bytes,
    job_id: ids.JobId,
    host: str,
    route: Route,
    client_account_id: ids.ClientAccountId | None,
    wall_s: float,
) -> BatchJob:
    try:
        wire = decode_json(body, _WireJob)
        items = _to_items(wire.requests)
    except (MalformedDataError, ValueError) as error:
        raise RequestError(
            'malformed_batch_job', str(error), status=400, not_run=True
        ) from None
    return BatchJob(
        job_id=job_id,
        host=host,
        client_account_id=client_account_id,
        accepted_wall_s=wall_s,
        due_s=route.due_ms / _MS_PER_S,
        item_lifetime_s=route.item_lifetime_s,
        max_attempt_count=route.max_attempt_count,
        items=items,
        step=wire.step,
        model=ids.ModelName(wire.model) if wire.model else None,
        min_version=(
            ids.WeightVersion(wire.min_version)
            if wire.min_version is not None
            else None
        ),
        desired_group_count=wire.desired,
        single_version=route.single_version,
        route_name=route.name,
    )


def _to_items(wire_items: list[_WireItem]) -> tuple[BatchItem, ...]:
    """Convert the items of a submitted job and empty the list.

    Each item is dropped once it is converted, since a large job would take
    twice the memory otherwise.

    :raises ValueError: an item can't be run.
    """
    items: list[BatchItem] = []
    wire_items.reverse()
    while wire_items:
        items.append(_to_item(wire_items.pop()))
    return tuple(items)


def _to_item(wire: _WireItem) -> BatchItem:
    """Convert an item of a submitted job.

    :raises ValueError: its calls can't be sent, or its length hint is no
        number.
    """
    _check_call(wire.id, wire.path)
    _check_headers(wire.headers)
    scorer = wire.scorer
    if scorer is not None:
        _check_call(scorer.id, scorer.path)
        _check_headers({'Host': scorer.host})
    return BatchItem(
        item_id=ids.ItemId(wire.id),
        path=wire.path,
        headers=tuple(wire.headers.items()),
        body=wire.body,
        token_count=wire.tokens,
        expected_token_count=_expected_token_count(wire),
        group_id=ids.GroupId(wire.group) if wire.group else None,
        scorer=(
            ScorerCall(
                request_id=ids.RequestId(scorer.id),
                host=scorer.host,
                path=scorer.path,
                body=scorer.body,
            )
            if scorer
            else None
        ),
    )


def _check_call(request_id: str, path: str) -> None:
    """Check that a call with this id and path can be sent.

    :raises ValueError: it can't.
    """
    if not is_header_value(request_id):
        raise ValueError('an id is not visible ASCII text')
    if not is_request_target(path):
        raise ValueError('a path can not stand in a request line')


def _check_headers(headers: Mapping[str, str]) -> None:
    """Check that headers can be sent.

    :raises ValueError: a name or value is not allowed in a header.
    """
    for name, value in headers.items():
        if not is_header(name, value):
            raise ValueError('a header has an invalid name or value')


def _expected_token_count(wire: _WireItem) -> int | None:
    """Return the client's estimate of the output's length, None without one.

    :raises ValueError: the estimate is no number, or it is too large.
    """
    hint = wire.headers.get(header_names.LENGTH_HINT)
    if not hint:
        return None
    count = float(hint)
    if not abs(count) <= MAX_INTEGER:
        raise ValueError(f'{header_names.LENGTH_HINT} is out of range')
    return int(count)


def _to_wire_page(page: ResultPage) -> _WirePage:
    results = [
        _WireResult(
            id=result.item_id,
            state=result.state.value,
            text=result.text,
            versions=result.versions,
            score=result.score,
        )
        for result in page.results
    ]
    return _WirePage(page.total_count, page.next_position, results)


def _non_negative_int(value: str) -> int:
    try:
        number = int(value)
    except ValueError:
        number = -1
    if number < 0:
        raise RequestError(
            'bad_number',
            f'{value!r} is not a non-negative integer',
            status=400,
            not_run=True,
        )
    return number
