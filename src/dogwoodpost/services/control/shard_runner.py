"""Runs the work of one shard while this process holds its lease."""

from __future__ import annotations

from typing import TYPE_CHECKING

import mode
import structlog

from dogwoodpost.errors import LeaseLostError
from dogwoodpost.errors import PlatformError
from dogwoodpost.errors import StoreError

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable
    from contextlib import AbstractAsyncContextManager

    from dogwoodpost.ports.clock import Clock
    from dogwoodpost.services.control.lease_manager import ManagedLeaseGuard

    RunOnce = Callable[[], Awaitable[object]]
    Work = AbstractAsyncContextManager[RunOnce]
    OpenWork = Callable[[ManagedLeaseGuard], Work]

_log = structlog.get_logger(__name__)


class ShardRunner(mode.Service):
    """Opens a shard's work when the lease is acquired and runs it repeatedly.

    :param open_work: opens the work after the lease was acquired and yields a
        function that does what is due. Either may raise ``LeaseLostError``,
        which closes the work until the lease is acquired again, or
        ``StoreError`` or ``PlatformError``, which are logged.
    :param interval_s: pause between two runs, in seconds.
    """

    def __init__(
        self,
        guard: ManagedLeaseGuard,
        open_work: Callable[[], Work],
        clock: Clock,
        *,
        interval_s: float,
    ) -> None:
        super().__init__()
        self._guard = guard
        self._open_work = open_work
        self._clock = clock
        self._interval_s = interval_s

    @mode.Service.task
    async def _run(self) -> None:
        while not self.should_stop:
            if self._guard.is_held():
                await self._run_while_held()
            await self._clock.sleep(self._interval_s)

    async def _run_while_held(self) -> None:
        _log.info('shard taken over', shard=self._guard.shard)
        try:
            async with self._open_work() as run_once:
                while not self.should_stop:
                    await self._run_once(run_once)
                    await self._clock.sleep(self._interval_s)
        except LeaseLostError:
            _log.info('shard lost', shard=self._guard.shard)
        except (StoreError, PlatformError) as error:
            self._log_failure(error)

    async def _run_once(self, run_once: RunOnce) -> None:
        try:
            await run_once()
        except (StoreError, PlatformError) as error:
            self._log_failure(error)

    def _log_failure(self, error: Exception) -> None:
        _log.warning(
            'shard work failed', shard=self._guard.shard, error=str(error)
        )
