"""Feeds of the tables that a process follows."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from dogwoodpost.core.membership.read_budget import ReadBudget
from dogwoodpost.services.rows import RowSink
from dogwoodpost.services.rows import TableFollower

if TYPE_CHECKING:
    from collections.abc import Callable

    from dogwoodpost.observability import Metrics
    from dogwoodpost.ports.clock import Clock
    from dogwoodpost.ports.row_store import RowStore


class _Feed(msgspec.Struct, frozen=True, kw_only=True):
    """A table, what its rows are passed to, and how often it is read."""

    table: str
    sink: RowSink
    pause_s: float
    partitioned: bool


class TableFeeds:
    """Shares the store's rate of reads among all processes and tables.

    :param reads_per_s: reads that the store serves for all processes.
    :param process_count: returns the number of live processes.
    """

    def __init__(
        self,
        rows: RowStore,
        clock: Clock,
        metrics: Metrics,
        *,
        reads_per_s: float,
        process_count: Callable[[], int],
    ) -> None:
        self._rows = rows
        self._clock = clock
        self._metrics = metrics
        self._reads_per_s = reads_per_s
        self._process_count = process_count
        self._feeds: list[_Feed] = []

    def add(
        self,
        table: str,
        sink: RowSink,
        pause_s: float,
        *,
        partitioned: bool = False,
    ) -> None:
        """Add a table.

        :param pause_s: shortest pause between two reads, in seconds.
        :param partitioned: whether its rows have a partition of their own.
        """
        self._feeds.append(
            _Feed(
                table=table,
                sink=sink,
                pause_s=pause_s,
                partitioned=partitioned,
            )
        )

    def followers(self) -> list[TableFollower]:
        """Return a service for each table, in the order of their addition."""
        budget = ReadBudget(
            self._reads_per_s, sum(1.0 / feed.pause_s for feed in self._feeds)
        )
        return [
            TableFollower(
                self._rows,
                feed.table,
                feed.sink,
                self._clock,
                self._metrics,
                pause_s=feed.pause_s,
                pause_factor=lambda: budget.pause_factor(
                    self._process_count()
                ),
                partitioned=feed.partitioned,
            )
            for feed in self._feeds
        ]
