"""Runs a service as a process until a signal or a crash."""

from __future__ import annotations

import asyncio
import contextlib
import signal
from typing import TYPE_CHECKING

import structlog

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    import mode

_log = structlog.get_logger(__name__)
_STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


@contextlib.asynccontextmanager
async def running(service: mode.Service) -> AsyncIterator[mode.Service]:
    """Start a service and stop it gracefully at the end of the block."""
    await service.start()
    try:
        yield service
    finally:
        await service.stop()


async def propagate_crash(owner: mode.Service, part: mode.Service) -> None:
    """Wait until a part stops; if it crashed, crash its owner too."""
    await part.wait_until_stopped()
    if part.crash_reason is not None:
        await owner.crash(part.crash_reason)


async def wait_for_stop_signal() -> None:
    """Wait for SIGTERM or SIGINT."""
    stop_requested = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in _STOP_SIGNALS:
        loop.add_signal_handler(signal_number, stop_requested.set)
    await stop_requested.wait()


async def run_until_stopped(service: mode.Service) -> int:
    """Run a service until SIGTERM, SIGINT or its crash.

    Returns the exit code: 0 after a signal, 1 after a crash.
    """
    async with running(service):
        signal_task = asyncio.create_task(wait_for_stop_signal())
        crash_task = asyncio.create_task(service.wait_until_stopped())
        await asyncio.wait(
            {signal_task, crash_task}, return_when=asyncio.FIRST_COMPLETED
        )
        for task in (signal_task, crash_task):
            task.cancel()
        if service.crash_reason is not None:
            _log.error('service crashed', reason=repr(service.crash_reason))
            return 1
        _log.info('stopping gracefully')
    return 0
