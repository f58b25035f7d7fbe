"""Clients of a soak, which check the responses that they get."""

from __future__ import annotations

import asyncio
import itertools
import random
import re
from typing import Any
from typing import TYPE_CHECKING

import aiohttp
import msgspec

from tests.platform.platform_site import EVENT_COUNT
from tests.platform.platform_site import MODEL

if TYPE_CHECKING:
    from tests.platform.platform_site import SpawnedNode
    from tests.soak.soak_site import SoakSite

_NOT_EXECUTED_STATUSES = frozenset({408, 421, 429, 503})
_CLIENT_ERROR_STATUSES = frozenset({400, 401, 403, 404})
_CLIENT_TIMEOUT_S = 3.6
_REQUEST_PAUSE_S = 0.06
_JOB_PAUSE_S = 0.7
_READ_PAUSE_S = 0.25
_ITEM_COUNT = 4
_VERSION_LINE = re.compile(rb'^x-weight-versions: \d+\n', re.MULTILINE)
_STREAM = ''.join(
    f'id: {number}\ndata: piece {number}\n\n' for number in range(EVENT_COUNT)
).encode()
_TEXT = '\n'.join(f'piece {number}' for number in range(EVENT_COUNT))


class Job(msgspec.Struct):
    """A batch job with the results that its client has read."""

    job_id: str
    document: dict[str, Any]
    results: list[dict[str, Any]] = []


class SoakClients:
    """Sends requests and batch jobs, and checks each response.

    :param seed: seed that kinds of requests and processes are drawn from; it
        does not affect the timing.
    """

    def __init__(self, site: SoakSite, seed: int) -> None:
        self.violations: list[str] = []
        self.jobs: list[Job] = []
        self.not_executed_ids: list[str] = []
        self.non_idempotent_ids: list[str] = []
        self.served_count = 0
        self._site = site
        self._rng = random.Random(seed)
        self._numbers = itertools.count()

    async def send_requests(self) -> None:
        """Send requests of all kinds until cancelled."""
        kinds = (
            self._send_idempotent,
            self._send_non_idempotent,
            self._send_stream,
        )
        async with asyncio.TaskGroup() as group:
            while True:
                group.create_task(self._rng.choice(kinds)())
                await asyncio.sleep(_REQUEST_PAUSE_S)

    async def submit_jobs(self) -> None:
        """Submit jobs until cancelled; read accepted jobs to their end."""
        async with asyncio.TaskGroup() as group:
            while True:
                group.create_task(self._run_job())
                await asyncio.sleep(_JOB_PAUSE_S)

    async def read_job(self, job: Job) -> None:
        """Read a job from its start and compare it with earlier results."""
        results: list[dict[str, Any]] = []
        has_more = True
        while has_more:
            position = len(results)
            page = await self._read_page(job, position)
            if page is None:
                break
            results += page['results']
            has_more = position < len(results) < _ITEM_COUNT
        read_count = len(job.results)
        if results[:read_count] != job.results[: len(results)]:
            self.violations.append(f'job {job.job_id}: positions changed')
        job.results += results[read_count:]

    async def _read_page(
        self, job: Job, position: int
    ) -> dict[str, Any] | None:
        """Return a page of results, None if it could not be read."""
        response = await self._send(
            f'/api/lots/{job.job_id}?after={position}', 'reader', method='GET'
        )
        if response is None or response[0] != 200:
            self._check_client_error(response, f'job {job.job_id}')
            return None
        page: dict[str, Any] = msgspec.json.decode(response[2])
        if page['total'] != _ITEM_COUNT:
            self.violations.append(f'job {job.job_id}: total {page["total"]}')
        if page['next'] != position + len(page['results']):
            self.violations.append(f'job {job.job_id}: next {page["next"]}')
        return page

    def is_complete(self, job: Job) -> bool:
        """Return whether all results of a job have been read."""
        return len(job.results) == _ITEM_COUNT

    def check_results(self, job: Job, *, items_may_fail: bool) -> None:
        """Check the results of a complete job.

        :param items_may_fail: whether items may have a state other than
            completed.
        """
        scorers = {
            item['id']: item['scorer']['id']
            for item in job.document['requests']
        }
        item_ids = [result['id'] for result in job.results]
        if sorted(item_ids) != sorted(scorers):
            self.violations.append(f'job {job.job_id}: items {item_ids}')
            return
        for result in job.results:
            if result['state'] == 'completed':
                score = f'signed-{scorers[result["id"]]}'
                is_valid = result['text'] == _TEXT and result['score'] == score
            else:
                is_valid = items_may_fail
            if not is_valid:
                self.violations.append(f'job {job.job_id}: {result}')

    async def _send_idempotent(self) -> None:
        request_id = self._new_id('safe')
        body = request_id.encode()
        response = await self._send('/safe/a', request_id, body=body)
        self._check_response(response, request_id, b'echo:' + body)

    async def _send_non_idempotent(self) -> None:
        request_id = self._new_id('unsafe')
        self.non_idempotent_ids.append(request_id)
        body = request_id.encode()
        response = await self._send('/unsafe/a', request_id, body=body)
        if response is not None and response[0] in _NOT_EXECUTED_STATUSES:
            self.not_executed_ids.append(request_id)
        self._check_response(response, request_id, b'echo:' + body)

    async def _send_stream(self) -> None:
        request_id = self._new_id('stream')
        headers = {'X-Model': MODEL}
        response = await self._send(
            '/resumable/a', request_id, headers=headers
        )
        self._check_response(response, request_id, _STREAM)

    async def _run_job(self) -> None:
        document = self._site.job(_ITEM_COUNT)
        job = Job(self._new_id('job'), document)
        body = msgspec.json.encode(document)
        for _ in range(6):
            response = await self._send(
                f'/jobs/{job.job_id}', job.job_id, body=body
            )
            if response is not None and response[0] == 202:
                break
            self._check_client_error(response, f'job {job.job_id}')
            await asyncio.sleep(_READ_PAUSE_S)
        else:
            return
        self.jobs.append(job)
        while not self.is_complete(job):
            await asyncio.sleep(_READ_PAUSE_S)
            await self.read_job(job)

    def _check_response(
        self,
        response: tuple[int, dict[str, str], bytes] | None,
        request_id: str,
        expected: bytes,
    ) -> None:
        self._check_client_error(response, request_id)
        if response is None or not 200 <= response[0] < 300:
            return
        self.served_count += 1
        _, headers, body = response
        # Added to the first event after a change of the weight version.
        body = _VERSION_LINE.sub(b'', body)
        signature = headers.get('X-Response-Signature')
        if signature != f'signed-{request_id}' or body != expected:
            self.violations.append(f'{request_id}: {signature} {body!r}')

    def _check_client_error(
        self, response: tuple[int, dict[str, str], bytes] | None, subject: str
    ) -> None:
        if response is not None and response[0] in _CLIENT_ERROR_STATUSES:
            self.violations.append(
                f'{subject}: status {response[0]} {response[2]!r}'
            )

    async def _send(
        self, path: str, request_id: str, **fields: Any
    ) -> tuple[int, dict[str, str], bytes] | None:
        """Return the response, or None if no complete response arrived."""
        node = self._choose_node()
        if node is None:
            return None
        try:
            async with asyncio.timeout(_CLIENT_TIMEOUT_S):
                return await self._site.send(
                    node, path, request_id=request_id, **fields
                )
        except (TimeoutError, aiohttp.ClientError, OSError):
            return None

    def _choose_node(self) -> SpawnedNode | None:
        running = [node for node in self._site.nodes if node.is_running()]
        return self._rng.choice(running).address() if running else None

    def _new_id(self, kind: str) -> str:
        return f'{kind}-{next(self._numbers)}'
