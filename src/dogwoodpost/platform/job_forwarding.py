"""HTTP client that forwards batch jobs to other processes."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import aiohttp

from dogwoodpost.adapters.http.send_once import NOT_CONNECTED_ERRORS
from dogwoodpost.core.http_headers import end_to_end_headers
from dogwoodpost.platform.sessions import unchanged_url
from dogwoodpost.ports.job_forwarding import ForwardOutcome
from dogwoodpost.ports.job_forwarding import JobForwardingClient
from dogwoodpost.ports.job_forwarding import JobSubmission

if TYPE_CHECKING:
    import yarl
    from aiohttp import web

# Header of a forwarded job; the receiving process does not forward it again.
FORWARDED_HEADER = 'Dogwoodpost-Forwarded'
_CONNECT_TIMEOUT_S = 0.1
# After this time the job is accepted here, whether or not the other process
# still accepts it.
_TIMEOUT_S = 0.4
_STATUS_ACCEPTED = 202
# Statuses that guarantee that the job has not been and will not be stored.
_NOT_ACCEPTED_STATUSES = frozenset(
    {400, 401, 403, 404, 408, 413, 421, 429, 503}
)


def submission_to_forward(
    request: web.Request, body: bytes
) -> JobSubmission | None:
    """Return the call to forward, or None if it was forwarded already."""
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
    """Forwards clients' calls to the client-facing address of processes.

    :param own_name: name of this process, sent in ``FORWARDED_HEADER``.
    """

    def __init__(self, session: aiohttp.ClientSession, own_name: str) -> None:
        self._session = session
        self._own_name = own_name

    async def submit(
        self, address: str, submission: JobSubmission
    ) -> ForwardOutcome:
        """Submit a batch job to another process."""
        url = unchanged_url(address, submission.path)
        try:
            async with asyncio.timeout(_TIMEOUT_S):
                status = await self._post(url, submission)
        except NOT_CONNECTED_ERRORS:
            return ForwardOutcome.NOT_ACCEPTED
        except (TimeoutError, aiohttp.ClientError, OSError):
            return ForwardOutcome.UNKNOWN
        if status == _STATUS_ACCEPTED:
            return ForwardOutcome.ACCEPTED
        if status in _NOT_ACCEPTED_STATUSES:
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
