"""Clients of a soak, and what they find wrong with responses."""

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

_PROMISES = frozenset({408, 421, 429, 503})
_DENIALS = frozenset({400, 401, 403, 404})
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
    """A batch job as its client knows it."""

    job_id: str
    document: dict[str, Any]
    results: list[dict[str, Any]] = []


class SoakClients:
    """Sends requests and batch jobs, and checks each response.

    :param seed: decides on kinds and nodes, not on times.
    """

    def __init__(self, site: SoakSite, seed: int) -> None:
        self.violations: list[str] = []
        self.jobs: list[Job] = []
        self.promised: list[str] = []
        self.unsafe: list[str] = []
        self.served_count = 0
        self._site = site
        self._rng = random.Random(seed)
        self._numbers = itertools.count()

    async def send_requests(self) -> None:
        """Send requests of all kinds until cancelled."""
        kinds = (self._safe, self._unsafe, self._stream)
        async with asyncio.TaskGroup() as group:
            while True:
                group.create_task(self._rng.choice(kinds)())
                await asyncio.sleep(_REQUEST_PAUSE_S)

    async def submit_jobs(self) -> None:
        """Submit jobs until cancelled; accepted ones are read on."""
        async with asyncio.TaskGroup() as group:
            while True:
                group.create_task(self._job())
                await asyncio.sleep(_JOB_PAUSE_S)

    async def read_once(self, job: Job) -> None:
        """Read a job from its start and compare with what was read before."""
        answer = await self._send(
            f'/api/lots/{job.job_id}?after=0', 'reader', method='GET'
        )
        if answer is None or answer[0] != 200:
            self._check_denial(answer, f'job {job.job_id}')
            return
        page = msgspec.json.decode(answer[2])
        known = len(job.results)
        if page['results'][:known] != job.results[: len(page['results'])]:
            self.violations.append(f'job {job.job_id}: positions changed')
        if page['total'] != _ITEM_COUNT:
            self.violations.append(f'job {job.job_id}: total {page["total"]}')
        job.results += page['results'][known:]

    def is_complete(self, job: Job) -> bool:
        """Return whether all results of a job have been read."""
        return len(job.results) == _ITEM_COUNT

    def check_results(self, job: Job, *, may_fail: bool) -> None:
        """Check the results of a job that is complete."""
        scorers = {
            one['id']: one['scorer']['id'] for one in job.document['requests']
        }
        found = [result['id'] for result in job.results]
        if sorted(found) != sorted(scorers):
            self.violations.append(f'job {job.job_id}: items {found}')
            return
        for result in job.results:
            if result['state'] == 'completed':
                score = f'signed-{scorers[result["id"]]}'
                whole = result['text'] == _TEXT and result['score'] == score
            else:
                whole = may_fail
            if not whole:
                self.violations.append(f'job {job.job_id}: {result}')

    async def _safe(self) -> None:
        request_id = self._new_id('safe')
        body = request_id.encode()
        answer = await self._send('/safe/a', request_id, body=body)
        self._check(answer, request_id, b'echo:' + body)

    async def _unsafe(self) -> None:
        request_id = self._new_id('unsafe')
        self.unsafe.append(request_id)
        body = request_id.encode()
        answer = await self._send('/unsafe/a', request_id, body=body)
        if answer is not None and answer[0] in _PROMISES:
            self.promised.append(request_id)
        self._check(answer, request_id, b'echo:' + body)

    async def _stream(self) -> None:
        request_id = self._new_id('stream')
        headers = {'X-Model': MODEL}
        answer = await self._send('/resumable/a', request_id, headers=headers)
        self._check(answer, request_id, _STREAM)

    async def _job(self) -> None:
        document = self._site.job(_ITEM_COUNT)
        job = Job(self._new_id('job'), document)
        body = msgspec.json.encode(document)
        for _ in range(6):
            answer = await self._send(
                f'/jobs/{job.job_id}', job.job_id, body=body
            )
            if answer is not None and answer[0] == 202:
                break
            self._check_denial(answer, f'job {job.job_id}')
            await asyncio.sleep(_READ_PAUSE_S)
        else:
            return
        self.jobs.append(job)
        while not self.is_complete(job):
            await asyncio.sleep(_READ_PAUSE_S)
            await self.read_once(job)

    def _check(
        self,
        answer: tuple[int, dict[str, str], bytes] | None,
        request_id: str,
        expected: bytes,
    ) -> None:
        self._check_denial(answer, request_id)
        if answer is None or not 200 <= answer[0] < 300:
            return
        self.served_count += 1
        _, headers, body = answer
        # Comes with the first event of another version of the weights.
        body = _VERSION_LINE.sub(b'', body)
        signature = headers.get('X-Response-Signature')
        if signature != f'signed-{request_id}' or body != expected:
            self.violations.append(f'{request_id}: {signature} {body!r}')

    def _check_denial(
        self, answer: tuple[int, dict[str, str], bytes] | None, what: str
    ) -> None:
        if answer is not None and answer[0] in _DENIALS:
            self.violations.append(f'{what}: status {answer[0]} {answer[2]!r}')

    async def _send(
        self, path: str, request_id: str, **fields: Any
    ) -> tuple[int, dict[str, str], bytes] | None:
        """Return the response, None without a complete one."""
        node = self._node()
        if node is None:
            return None
        try:
            async with asyncio.timeout(_CLIENT_TIMEOUT_S):
                return await self._site.send(
                    node, path, request_id=request_id, **fields
                )
        except (TimeoutError, aiohttp.ClientError, OSError):
            return None

    def _node(self) -> SpawnedNode | None:
        running = [node for node in self._site.nodes if node.is_running()]
        return self._rng.choice(running).address() if running else None

    def _new_id(self, kind: str) -> str:
        return f'{kind}-{next(self._numbers)}'
