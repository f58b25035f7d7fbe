"""Reading of whole response bodies up to a size."""

from __future__ import annotations

from typing import TYPE_CHECKING

from dogwoodpost.adapters.http.call_errors import CallError

if TYPE_CHECKING:
    import aiohttp

# Largest document of a service, such as a page of rows; objects are larger.
MAX_DOCUMENT_BYTES = 16 * 1024 * 1024
_READ_BYTES = 64 * 1024


class ResponseTooLargeError(CallError):
    """A response body is larger than any that its call can have."""


async def read_body(
    response: aiohttp.ClientResponse, *, max_bytes: int
) -> bytes:
    """Return the body of a response.

    A peer may send bytes without an end; the connection is closed when there
    are more than the limit.

    :raises ResponseTooLargeError: the body is larger than ``max_bytes``.
    """
    parts: list[bytes] = []
    size_bytes = 0
    async for part in response.content.iter_chunked(_READ_BYTES):
        size_bytes += len(part)
        if size_bytes > max_bytes:
            response.close()
            raise ResponseTooLargeError(
                f'the response body has more than {max_bytes} bytes'
            )
        parts.append(part)
    return b''.join(parts)
