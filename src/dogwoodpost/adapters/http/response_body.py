"""Reading of whole response bodies up to a size."""

from __future__ import annotations

import aiohttp

# Largest document of a service, such as a page of rows; objects are larger.
MAX_DOCUMENT_BYTES = 16 * 1024 * 1024
_READ_BYTES = 64 * 1024
_MAX_ERROR_CHARS = 200


class ResponseTooLargeError(aiohttp.ClientError):
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


def call_failure(error: Exception) -> str:
    """Return what happened to a call, without bytes that its peer sent.

    aiohttp quotes the malformed part of a response in its errors.
    """
    if isinstance(error, aiohttp.ClientResponseError):
        return f'{type(error).__name__}: the response is malformed'
    return repr(error)[:_MAX_ERROR_CHARS]
