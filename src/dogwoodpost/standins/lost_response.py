"""Responses that never arrive."""

from __future__ import annotations

from aiohttp import web


def drop_connection(request: web.Request) -> web.Response:
    """Close the connection of a request instead of answering."""
    if request.transport is not None:
        request.transport.abort()
    return web.Response(status=500)
