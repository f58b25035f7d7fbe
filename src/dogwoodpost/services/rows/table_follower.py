"""Passes the rows of a table and their changes to a sink."""

from __future__ import annotations

import math
from typing import Protocol
from typing import TYPE_CHECKING

import mode
import structlog

from dogwoodpost.errors import HistoryLostError
from dogwoodpost.errors import StoreError

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Sequence

    from dogwoodpost.observability import Metrics
    from dogwoodpost.ports.clock import Clock
    from dogwoodpost.ports.row_store import RowStore
    from dogwoodpost.ports.row_store import VersionedRow

_log = structlog.get_logger(__name__)
FEED_WAIT_S = 1.0
RETRY_PAUSE_S = 0.15
# A page with this many rows may not be the last one.
_FULL_PAGE_ROW_COUNT = 500
_MS_PER_S = 1_000


class RowSink(Protocol):
    """Receives the rows of a table."""

    def apply(self, rows: Sequence[VersionedRow], now_s: float) -> None:
        """Apply changed rows; deleted rows have the value None."""

    def replace(self, rows: Sequence[VersionedRow], now_s: float) -> None:
        """Replace all rows by those of a complete read of the table."""

    def note_contact(self, now_s: float, as_of_s: float) -> None:
        """Record that changes have been passed on.

        :param now_s: time at which the store's answer arrived.
        :param as_of_s: time up to which all changes have been passed on. The
            store may have given its answer at any time since.
        """


class TableFollower(mode.Service):
    """Reads a whole table once, then follows its change feed.

    Reads the whole table again if the feed no longer has the changes.

    :param partitioned: the table has other partitions than ``''``.
    :param pause_s: pause between two reads of the feed in seconds, so that
        many small changes share one call.
    :param pause_factor: returns the current multiplier of ``pause_s``.
    """

    def __init__(
        self,
        store: RowStore,
        table: str,
        sink: RowSink,
        clock: Clock,
        metrics: Metrics,
        *,
        pause_s: float,
        pause_factor: Callable[[], float] = lambda: 1.0,
        partitioned: bool = False,
    ) -> None:
        super().__init__()
        self._store = store
        self._table = table
        self._sink = sink
        self._clock = clock
        self._metrics = metrics
        self._pause_s = pause_s
        self._pause_factor = pause_factor
        self._partitioned = partitioned
        self._feed_version: int | None = None
        self._as_of_s = -math.inf
        self._is_connected = True

    @mode.Service.task
    async def _follow(self) -> None:
        while not self.should_stop:
            try:
                await self._read_changes()
            except HistoryLostError:
                self._feed_version = None
                _log.info('feed_history_lost', table=self._table)
                pause_s = 0.0
            except StoreError as error:
                self._note_failure(error)
                pause_s = RETRY_PAUSE_S
            else:
                self._note_success()
                pause_s = self._pause_s * self._pause_factor()
            await self._clock.sleep(pause_s)

    async def _read_changes(self) -> None:
        if self._feed_version is None:
            await self._read_table()
            return
        sent_s = self._clock.monotonic_s()
        page = await self._store.follow(
            self._table, self._feed_version, FEED_WAIT_S
        )
        now_s = self._clock.monotonic_s()
        if page.rows:
            self._sink.apply(page.rows, now_s)
        self._feed_version = max(self._feed_version, page.version)
        if len(page.rows) < _FULL_PAGE_ROW_COUNT:
            self._as_of_s = sent_s
        self._sink.note_contact(now_s, self._as_of_s)

    async def _read_table(self) -> None:
        start_s = self._clock.monotonic_s()
        rows: list[VersionedRow] = []
        first_version: int | None = None
        partitions = ['']
        if self._partitioned:
            # Get the version before listing the partitions: the feed
            # delivers all changes after it.
            page = await self._store.read(self._table, '', limit=1)
            first_version = page.version
            partitions = await self._store.partitions(self._table)
        for partition in partitions:
            start = ''
            while True:
                page = await self._store.read(
                    self._table, partition, start=start
                )
                if first_version is None:
                    first_version = page.version
                rows += page.rows
                if not page.truncated or not page.rows:
                    break
                start = page.rows[-1].key.key + '\0'
        now_s = self._clock.monotonic_s()
        self._sink.replace(rows, now_s)
        self._feed_version = first_version or 0
        # Rows may have changed since they were read.
        self._as_of_s = start_s
        self._sink.note_contact(now_s, self._as_of_s)
        _log.info(
            'table_read',
            table=self._table,
            version=self._feed_version,
            rows=len(rows),
            partitions=len(partitions),
            duration_ms=round((now_s - start_s) * _MS_PER_S, 1),
        )

    def _note_failure(self, error: StoreError) -> None:
        self._metrics.events.labels(f'feed_failed_{self._table}').inc()
        if self._is_connected:
            self._is_connected = False
            _log.warning(
                'feed_lost',
                table=self._table,
                version=self._feed_version,
                error=str(error),
            )

    def _note_success(self) -> None:
        if not self._is_connected:
            self._is_connected = True
            _log.info(
                'feed_regained', table=self._table, version=self._feed_version
            )
