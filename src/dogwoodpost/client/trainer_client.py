"""Client of the trainers' HTTP interface."""

from __future__ import annotations

import asyncio
import random
import time
from typing import TYPE_CHECKING
from typing import TypeVar
from urllib.parse import quote

import aiohttp
import msgspec

from dogwoodpost.client.batch import Batch
from dogwoodpost.core import ids
from dogwoodpost.core.decoding import decode_json
from dogwoodpost.core.http_status import is_final_status
from dogwoodpost.core.http_status import is_success_status
from dogwoodpost.core.rollouts.trainer_api import Acknowledgement
from dogwoodpost.core.rollouts.trainer_api import ErrorReply
from dogwoodpost.core.rollouts.trainer_api import FetchReply
from dogwoodpost.core.rollouts.trainer_api import PATH_PREFIX
from dogwoodpost.core.rollouts.trainer_api import StepView
from dogwoodpost.errors import MalformedDataError
from dogwoodpost.errors import RequestError

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from collections.abc import Sequence

    from dogwoodpost.core.rollouts.trainer_api import BatchView
    from dogwoodpost.core.rollouts.trainer_api import StepSubmission

_Reply = TypeVar('_Reply', bound=msgspec.Struct)

START_CURSOR = '0'
BACKOFF_BASE_S = 0.2
BACKOFF_CAP_S = 5.0


class TrainerClient:
    """Submits steps and yields each batch once.

    A failed call is retried at the next entry, after an exponential delay
    with full jitter, until it succeeds or is refused with a status other
    than 503.

    A trainer must store the cursor of a batch together with its own state
    before it acknowledges the batch. After a crash, it creates a new client
    with the stored cursor.

    :param entry_urls: base URLs of entries, or of their load balancer.
    :param cursor: cursor of the last batch that the trainer has stored.
    :param wait_s: how long a call waits at the entry for the next batch.
    :param call_timeout_s: total time limit of one call.
    :param rng: source of the jitter.
    """

    def __init__(
        self,
        session: aiohttp.ClientSession,
        entry_urls: Sequence[str],
        *,
        trainer_id: ids.TrainerId,
        key: str,
        cursor: str = START_CURSOR,
        wait_s: float = 10.0,
        call_timeout_s: float = 30.0,
        rng: random.Random | None = None,
    ) -> None:
        self.cursor = cursor
        self.weight_version = ids.WeightVersion(0)
        self._session = session
        self._urls = [url.rstrip('/') for url in entry_urls]
        self._path = f'{PATH_PREFIX}/trainers/{quote(trainer_id, safe="")}'
        self._headers = {'Authorization': f'Bearer {key}'}
        self._wait_s = wait_s
        self._timeout = aiohttp.ClientTimeout(total=call_timeout_s)
        self._rng = rng or random.Random()
        self._yielded_batch_ids: set[ids.BatchId] = set()
        self._is_resumed = cursor != START_CURSOR
        # Duration of the last call that got a response, without earlier
        # failed tries.
        self._last_call_s = 0.0

    async def submit_step(self, submission: StepSubmission) -> StepView:
        """Submit a step; repeating the same submission has no further effect.

        :raises RequestError: the step was refused.
        """
        data = msgspec.json.encode(submission)
        return await self._call('POST', '/steps', StepView, data=data)

    async def step(self, step_id: ids.StepId) -> StepView:
        """Return the state of a step."""
        path = f'/steps/{quote(step_id, safe="")}'
        return await self._call('GET', path, StepView)

    async def batches(
        self, step_id: ids.StepId | None = None
    ) -> AsyncIterator[Batch]:
        """Yield batches; stop when the given step has no more of them.

        Without a step, the iteration never ends. ``cursor`` is advanced just
        before a batch is yielded.
        """
        while True:
            batch = await self._fetch()
            if batch is not None:
                yield batch
            elif step_id is not None and await self._is_finished(step_id):
                return

    async def acknowledge(self, batch: Batch) -> None:
        """Confirm that the trainer has stored a batch.

        The service may then delete it.
        """
        await self._acknowledge(batch.batch_id, received=True)

    async def _fetch(self) -> Batch | None:
        query = (
            f'?after={self.cursor}&wait_ms={int(self._wait_s * 1000)}'
            f'&weight_version={self.weight_version}'
            f'&resumed={int(self._is_resumed)}'
        )
        reply = await self._call('GET', f'/batches{query}', FetchReply)
        self._is_resumed = False
        view = reply.batch
        if view is None:
            return None
        transit_s = self._last_call_s - reply.held_s
        if view.batch_id in self._yielded_batch_ids:
            self.cursor = view.cursor
            return None
        if view.samples is None or not _is_valid(view, transit_s):
            # Reject the batch before advancing the cursor, so that the service
            # replaces it.
            await self._acknowledge(view.batch_id, received=False)
            self.cursor = view.cursor
            return None
        self._yielded_batch_ids.add(view.batch_id)
        self.cursor = view.cursor
        return Batch(
            batch_id=view.batch_id,
            cursor=view.cursor,
            step_id=view.step_id,
            samples=view.samples,
        )

    async def _is_finished(self, step_id: ids.StepId) -> bool:
        view = await self.step(step_id)
        return view.is_finished and int(view.last_cursor) <= int(self.cursor)

    async def _acknowledge(
        self, batch_id: ids.BatchId, *, received: bool
    ) -> None:
        data = msgspec.json.encode(Acknowledgement(received=received))
        path = f'/batches/{quote(batch_id, safe="")}/ack'
        await self._call('POST', path, Acknowledgement, data=data)

    async def _call(
        self,
        method: str,
        path: str,
        reply_type: type[_Reply],
        *,
        data: bytes | None = None,
    ) -> _Reply:
        failure_count = 0
        while True:
            url = (
                self._urls[failure_count % len(self._urls)] + self._path + path
            )
            delay_s = min(
                BACKOFF_CAP_S, BACKOFF_BASE_S * 2 ** min(failure_count, 16)
            )
            try:
                return await self._request(method, url, reply_type, data)
            except RequestError as error:
                if error.status != 503:
                    raise
                delay_s = max(delay_s, error.retry_after_s or 0.0)
            except (aiohttp.ClientError, TimeoutError):
                pass
            failure_count += 1
            await asyncio.sleep(self._rng.uniform(0.0, delay_s))

    async def _request(
        self,
        method: str,
        url: str,
        reply_type: type[_Reply],
        data: bytes | None,
    ) -> _Reply:
        start_s = time.monotonic()
        async with self._session.request(
            method,
            url,
            data=data,
            headers=self._headers,
            timeout=self._timeout,
        ) as response:
            body = await response.read()
            self._last_call_s = time.monotonic() - start_s
            if not is_success_status(response.status):
                raise _request_error(response.status, body)
            return decode_json(body, reply_type)


def _is_valid(view: BatchView, transit_s: float) -> bool:
    return view.valid_for_s is None or transit_s <= view.valid_for_s


def _request_error(status: int, body: bytes) -> RequestError:
    if not is_final_status(status):
        # No server may send it, so its body is of no use either.
        message = f'invalid HTTP status {status}'
        return RequestError('unavailable', message, status=503)
    try:
        detail = decode_json(body, ErrorReply).error
    except MalformedDataError:
        # The response is not from an entry but, for example, from a load
        # balancer.
        code = 'unavailable' if status >= 500 else 'refused'
        status = 503 if status >= 500 else status
        return RequestError(code, f'HTTP status {status}', status=status)
    return RequestError(
        detail.code,
        detail.message,
        status=status,
        not_run=detail.not_run,
        retry_after_s=detail.retry_after_s,
    )
