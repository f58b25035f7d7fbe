"""Usage totals of one entry, written periodically to the table."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import mode
import msgspec
import structlog

from dogwoodpost.core import ids
from dogwoodpost.core.usage import decode_open_windows
from dogwoodpost.core.usage import OPEN_WINDOWS_KEY
from dogwoodpost.core.usage import UsageLedger
from dogwoodpost.errors import StoreConflictError
from dogwoodpost.errors import StoreError
from dogwoodpost.errors import StoreUnavailableError
from dogwoodpost.ports.table_store import Check
from dogwoodpost.ports.table_store import Write
from dogwoodpost.ports.usage_recorder import UsageRecorder
from dogwoodpost.ports.usage_reports import UsageFigures

if TYPE_CHECKING:
    import random

    from dogwoodpost.core.usage import UsageFlush
    from dogwoodpost.observability import Metrics
    from dogwoodpost.ports.clock import Clock
    from dogwoodpost.ports.table_store import Row
    from dogwoodpost.ports.table_store import TableStore

_log = structlog.get_logger()
# With 20 entries this is 10 writes per second at most; see docs/usage.md.
WRITE_INTERVAL_S = 2.0


class UsageTotals(mode.Service, UsageRecorder):
    """Counts the usage at one incarnation of an entry.

    A crash loses the usage counted since the last write. A graceful stop
    writes all usage first.

    :param window_s: length of a usage window.
    :param write_interval_s: mean time between two writes; the actual time
        varies at random by up to 25%.
    """

    def __init__(
        self,
        *,
        host_id: ids.HostId,
        incarnation: ids.Incarnation,
        window_s: int,
        store: TableStore,
        clock: Clock,
        rng: random.Random,
        metrics: Metrics,
        write_interval_s: float = WRITE_INTERVAL_S,
    ) -> None:
        super().__init__()
        self.write_interval_s = write_interval_s
        self._ledger = UsageLedger(host_id, incarnation, window_s)
        self._store = store
        self._clock = clock
        self._rng = rng
        self._metrics = metrics
        self._pending_flush: UsageFlush | None = None
        self._operation_prefix = f'usage/{host_id}/{incarnation}'
        self._creation_count = 0
        self._flush_lock = asyncio.Lock()

    @property
    def unwritten_by_window(
        self,
    ) -> dict[ids.UsageWindow, dict[ids.ClientAccountId, UsageFigures]]:
        """Return the usage that a crash of this process would lose."""
        return self._ledger.unwritten_by_window

    def record(
        self,
        client_account_id: ids.ClientAccountId,
        *,
        request_count: int,
        prompt_tokens: int,
        completion_tokens: int,
        at_wall_s: float | None = None,
    ) -> None:
        """Add usage to the window of a time.

        :param at_wall_s: wall-clock time; None for the current time.
        """
        figures = UsageFigures(
            request_count=request_count,
            prompt_tokens=prompt_tokens,
            completion_tokens=completion_tokens,
        )
        if at_wall_s is None:
            at_wall_s = self._clock.wall_s()
        self._ledger.record(client_account_id, figures, at_wall_s)

    async def flush(self) -> None:
        """Write all totals that have grown.

        :raises StoreError: the store failed, or the outcome of the write is
            unknown; the next call tries again.
        """
        async with self._flush_lock:
            if not self._ledger.knows_open_windows:
                await self._learn_open_windows()
            while not await self._flush_once():
                await self._learn_open_windows()

    async def on_stop(self) -> None:
        """Write the remaining usage, and retry until that succeeds."""
        while True:
            try:
                await self.flush()
                return
            except StoreError as error:
                _log.warning('usage_flush_failed', error=str(error))
                await self._clock.sleep(
                    self._rng.uniform(0.0, self.write_interval_s)
                )

    async def _flush_once(self) -> bool:
        """Write once; return False if a window was closed in the meantime."""
        flush = self._pending_flush or self._ledger.plan_flush()
        if flush is None:
            return True
        self._pending_flush = flush
        try:
            versions = await self._store.commit(
                flush.operation_id, flush.checks, flush.writes
            )
        except StoreConflictError:
            self._pending_flush = None
            self._ledger.reject_flush(flush)
            return False
        self._pending_flush = None
        self._ledger.confirm_flush(flush, versions)
        return True

    async def _learn_open_windows(self) -> None:
        row = await self._read_open_windows()
        if row is None:
            await self._create_open_windows()
            row = await self._read_open_windows()
        if row is None:
            raise StoreUnavailableError(f'{OPEN_WINDOWS_KEY} is missing')
        self._ledger.learn_open_windows(
            decode_open_windows(row).first_open,
            row.version,
            self._clock.wall_s(),
        )

    async def _read_open_windows(self) -> Row | None:
        rows = await self._store.read([OPEN_WINDOWS_KEY])
        return rows.get(OPEN_WINDOWS_KEY)

    async def _create_open_windows(self) -> None:
        """Create the row of open windows, which no entry has written yet."""
        self._creation_count += 1
        open_windows = self._ledger.initial_open_windows(self._clock.wall_s())
        try:
            await self._store.commit(
                ids.OperationId(
                    f'{self._operation_prefix}/open/{self._creation_count}'
                ),
                [Check(OPEN_WINDOWS_KEY, 0)],
                [Write(OPEN_WINDOWS_KEY, msgspec.json.encode(open_windows))],
            )
        except StoreConflictError:
            _log.debug('open_windows_exist')

    @mode.Service.task
    async def _write_regularly(self) -> None:
        while not self.should_stop:
            await self._clock.sleep(
                self.write_interval_s * self._rng.uniform(0.75, 1.25)
            )
            try:
                with self._metrics.timed('usage_flush', self._clock):
                    await self.flush()
            except StoreError as error:
                self._metrics.events.labels('usage_flush_failed').inc()
                _log.warning('usage_flush_failed', error=str(error))
