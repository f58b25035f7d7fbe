"""Stand-in of the platform's interface that takes usage reports."""

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
    """Reports that the platform has taken, with faults.

    Every report is recorded with the time of its arrival; a window that is
    reported with different figures is listed in ``contradicted_windows``.
    """

    def __init__(self) -> None:
        self.is_down = False
        self.refused_count = 0
        self.lost_response_count = 0
        self.received: list[UsageReport] = []
        self.by_window: dict[ids.UsageWindow, UsageReport] = {}
        self.contradicted_windows: set[ids.UsageWindow] = set()

    def refuses(self) -> bool:
        """Return whether the current report is refused by a fault."""
        if self.refused_count > 0:
            self.refused_count -= 1
            return True
        return False

    def record(self, report: UsageReport) -> None:
        """Record a report."""
        self.received.append(report)
        known = self.by_window.setdefault(report.window, report)
        if known != report:
            self.contradicted_windows.add(report.window)

    def loses_response(self) -> bool:
        """Return whether the answer of the current report is lost."""
        if self.lost_response_count > 0:
            self.lost_response_count -= 1
            return True
        return False


class DirectUsageReports(UsageReports):
    """Reaches a usage book without a network."""

    def __init__(self, book: UsageReportsState) -> None:
        self._book = book

    async def submit(
        self,
        report: UsageReport,
        *,
        before_send: Callable[[], object] | None = None,
    ) -> None:
        """Report a window."""
        await asyncio.sleep(0)
        if self._book.is_down:
            raise PlatformError('down')
        if before_send is not None:
            before_send()
        if self._book.refuses():
            raise PlatformError('refused by a fault')
        self._book.record(report)
        await asyncio.sleep(0)
        if self._book.loses_response():
            raise PlatformOutcomeUnknownError('the answer was lost')


def create_app(book: UsageReportsState) -> web.Application:
    """Return an application that serves a usage book over HTTP."""

    async def take_report(request: web.Request) -> web.Response:
        if book.is_down:
            return drop_connection(request)
        try:
            report = msgspec.json.decode(
                await request.read(), type=UsageReport
            )
        except msgspec.MsgspecError as error:
            raise web.HTTPBadRequest(text=str(error)) from error
        if book.refuses():
            raise web.HTTPConflict(text='refused by a fault')
        book.record(report)
        if book.loses_response():
            return drop_connection(request)
        return web.Response(status=202)

    app = web.Application()
    app.router.add_post('/v1/usage', take_report)
    return app
