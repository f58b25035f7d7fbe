"""Stand-in for the platform's API for usage reports."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import msgspec
from aiohttp import web

from dogwoodpost.errors import PlatformError
from dogwoodpost.errors import PlatformOutcomeUnknownError
from dogwoodpost.ports.usage_reports import UsageReport
from dogwoodpost.ports.usage_reports import UsageReports
from dogwoodpost.standins.lost_response import drop_connection

if TYPE_CHECKING:
    from collections.abc import Callable

    from dogwoodpost.core import ids


class UsageReportsState:
    """Usage reports that the platform accepted, with injected faults.

    ``received`` lists every report in order of arrival. ``by_window`` keeps
    the first report of each window; a window that is reported again with
    different figures is added to ``contradicted_windows``.
    """

    def __init__(self) -> None:
        self.is_down = False
        self.refused_count = 0
        self.lost_response_count = 0
        self.received: list[UsageReport] = []
        self.by_window: dict[ids.UsageWindow, UsageReport] = {}
        self.contradicted_windows: set[ids.UsageWindow] = set()

    def consume_refusal(self) -> bool:
        """Use up one refusal fault; return whether it applies."""
        if self.refused_count > 0:
            self.refused_count -= 1
            return True
        return False

    def record(self, report: UsageReport) -> None:
        """Record a report and compare it with the first of its window."""
        self.received.append(report)
        first_report = self.by_window.setdefault(report.window, report)
        if first_report != report:
            self.contradicted_windows.add(report.window)

    def consume_lost_response(self) -> bool:
        """Use up one lost-response fault; return whether it applies."""
        if self.lost_response_count > 0:
            self.lost_response_count -= 1
            return True
        return False


class DirectUsageReports(UsageReports):
    """Records usage reports directly, without a network."""

    def __init__(self, state: UsageReportsState) -> None:
        self._state = state

    async def submit(
        self,
        report: UsageReport,
        *,
        before_send: Callable[[], object] | None = None,
    ) -> None:
        """Submit the report of one window."""
        await asyncio.sleep(0)
        if self._state.is_down:
            raise PlatformError('the usage report service is down')
        if before_send is not None:
            before_send()
        if self._state.consume_refusal():
            raise PlatformError('refused by a fault')
        self._state.record(report)
        await asyncio.sleep(0)
        if self._state.consume_lost_response():
            raise PlatformOutcomeUnknownError(
                'the response to the report was lost'
            )


def create_app(state: UsageReportsState) -> web.Application:
    """Return an application that accepts usage reports over HTTP."""

    async def submit_report(request: web.Request) -> web.Response:
        if state.is_down:
            return drop_connection(request)
        try:
            report = msgspec.json.decode(
                await request.read(), type=UsageReport
            )
        except msgspec.MsgspecError as error:
            raise web.HTTPBadRequest(text=str(error)) from error
        if state.consume_refusal():
            raise web.HTTPConflict(text='refused by a fault')
        state.record(report)
        if state.consume_lost_response():
            return drop_connection(request)
        return web.Response(status=202)

    app = web.Application()
    app.router.add_post('/v1/usage', submit_report)
    return app
