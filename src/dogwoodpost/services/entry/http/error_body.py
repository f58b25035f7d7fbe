"""Error responses and error events for callers."""

from __future__ import annotations

import math
from typing import Any
from typing import TYPE_CHECKING

import msgspec
from aiohttp import web

if TYPE_CHECKING:
    from dogwoodpost.errors import RequestError

# These errors may occur before the whole request body has arrived, so the
# connection is not reused.
_CLOSING_CODES = frozenset(
    {'body_timeout', 'body_too_large', 'headers_too_large', 'stopping'}
)


def error_document(error: RequestError) -> dict[str, Any]:
    """Return the JSON object that describes an error."""
    return {
        'error': {
            'code': error.code,
            'message': str(error),
            'not_run': error.not_run,
            'retry_after_s': error.retry_after_s,
        }
    }


def error_event(error: RequestError) -> bytes:
    """Return the server-sent event that ends a failed stream.

    The blank line in front ends the previous event if it is incomplete.
    """
    body = msgspec.json.encode(error_document(error))
    return b'\n\nevent: error\ndata: ' + body + b'\n\n'


def error_response(error: RequestError) -> web.Response:
    """Return the response for an error."""
    response = web.Response(
        status=error.status,
        body=msgspec.json.encode(error_document(error)),
        content_type='application/json',
    )
    if error.retry_after_s is not None:
        retry_after_s = max(1, math.ceil(error.retry_after_s))
        response.headers['Retry-After'] = str(retry_after_s)
    if error.status == 401:
        response.headers['WWW-Authenticate'] = 'Bearer'
    if error.code in _CLOSING_CODES:
        response.headers['Connection'] = 'close'
        response.force_close()
    return response
