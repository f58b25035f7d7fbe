"""Simulates lost responses."""

from __future__ import annotations

from aiohttp import web


def drop_connection(request: web.Request) -> web.Response:
    """Abort the connection of a request so that no response arrives."""
    if request.transport is not None:
        request.transport.abort()
    return web.Response(status=500)
