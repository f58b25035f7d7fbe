"""Calls on batch jobs between the processes of the system."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import aiohttp
import yarl

from dogwoodpost.core.http_headers import end_to_end_headers
from dogwoodpost.platform.sessions import NOT_CONNECTED_ERRORS
from dogwoodpost.ports.job_forwarding import ForwardOutcome
from dogwoodpost.ports.job_forwarding import JobForwardingClient
from dogwoodpost.ports.job_forwarding import JobSubmission

if TYPE_CHECKING:
    from aiohttp import web

# Tells the process that receives a job to keep it.
FORWARDED_HEADER = 'Dogwoodpost-Forwarded'
_CONNECT_TIMEOUT_S = 0.1
# After that the job is better off here, whatever becomes of it there.
_TIMEOUT_S = 0.4
_STATUS_ACCEPTED = 202
# Statuses that promise that a job has not been stored and will not be.
_REFUSALS = frozenset({400, 401, 403, 404, 408, 413, 421, 429, 503})


def submission_to_forward(
    request: web.Request, body: bytes
) -> JobSubmission | None:
    """Return what to pass on of a client's call, None if it was passed on."""
    if FORWARDED_HEADER in request.headers:
        return None
    return JobSubmission(
        path=request.raw_path,
        headers=end_to_end_headers(
            request.headers.items(),
            frozenset({'content-length', 'expect'}),
        ),
        body=body,
    )


class HttpJobForwardingClient(JobForwardingClient):
    """Sends a client's call to the clients' address of another process."""

    def __init__(self, session: aiohttp.ClientSession, own_name: str) -> None:
        self._session = session
        self._own_name = own_name

    async def submit(
        self, address: str, submission: JobSubmission
    ) -> ForwardOutcome:
        """Submit a batch job at another process."""
        url = yarl.URL(f'http://{address}{submission.path}', encoded=True)
        try:
            async with asyncio.timeout(_TIMEOUT_S):
                status = await self._post(url, submission)
        except NOT_CONNECTED_ERRORS:
            return ForwardOutcome.NOT_ACCEPTED
        except (TimeoutError, aiohttp.ClientError, OSError):
            return ForwardOutcome.UNKNOWN
        if status == _STATUS_ACCEPTED:
            return ForwardOutcome.ACCEPTED
        if status in _REFUSALS:
            return ForwardOutcome.NOT_ACCEPTED
        return ForwardOutcome.UNKNOWN

    async def _post(self, url: yarl.URL, submission: JobSubmission) -> int:
        """Return the status of the response."""
        async with self._session.post(
            url,
            headers=[*submission.headers, (FORWARDED_HEADER, self._own_name)],
            data=submission.body,
            allow_redirects=False,
            timeout=aiohttp.ClientTimeout(
                total=None, sock_connect=_CONNECT_TIMEOUT_S
            ),
        ) as response:
            return response.status
