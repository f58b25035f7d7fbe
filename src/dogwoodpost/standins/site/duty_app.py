"""Stand-in for the platform's API for singleton duties."""

from __future__ import annotations

import asyncio

import msgspec
from aiohttp import web


class UsageCall(msgspec.Struct, frozen=True, kw_only=True):
    """A usage report as the platform received it.

    :param received_s: event loop time of receipt, in seconds.
    """

    window: int
    counts: dict[str, int]
    holder: str
    fencing_token: int
    received_s: float = 0.0


class ScaleCall(msgspec.Struct, frozen=True, kw_only=True):
    """A scaling call as the platform received it.

    :param desired: number of endpoints that the zone should have.
    """

    service: str
    zone: str
    desired: int
    holder: str
    fencing_token: int


class _Usage(msgspec.Struct):
    window: int
    counts: dict[str, int]


class _Scale(msgspec.Struct):
    service: str
    zone: str
    desired: int


class DutyApp:
    """Records all usage reports and scaling calls."""

    def __init__(self) -> None:
        self.calls: list[UsageCall] = []
        self.scale_calls: list[ScaleCall] = []

    def app(self) -> web.Application:
        """Return the application."""
        app = web.Application()
        app.router.add_post('/usage', self._usage)
        app.router.add_post('/scale', self._scale)
        return app

    async def _usage(self, request: web.Request) -> web.Response:
        usage = msgspec.json.decode(await request.read(), type=_Usage)
        self.calls.append(
            UsageCall(
                window=usage.window,
                counts=usage.counts,
                holder=request.headers['X-Duty-Holder'],
                fencing_token=int(request.headers['X-Fencing-Token']),
                received_s=asyncio.get_running_loop().time(),
            )
        )
        return web.Response()

    async def _scale(self, request: web.Request) -> web.Response:
        scale = msgspec.json.decode(await request.read(), type=_Scale)
        self.scale_calls.append(
            ScaleCall(
                service=scale.service,
                zone=scale.zone,
                desired=scale.desired,
                holder=request.headers['X-Duty-Holder'],
                fencing_token=int(request.headers['X-Fencing-Token']),
            )
        )
        return web.Response()
