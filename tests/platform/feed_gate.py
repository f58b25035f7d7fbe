"""Holds back what one process reads of a table of the store."""

from __future__ import annotations

import asyncio
from typing import Any
from typing import TYPE_CHECKING

from dogwoodpost.errors import HistoryLostError
from dogwoodpost.errors import StoreUnavailableError

if TYPE_CHECKING:
    from tests.platform.platform_site import Node


class FeedGate:
    """Delays or fails the store's answers about a table at one process.

    ``fails`` lets calls of the feed fail at once while the gate is closed;
    otherwise their answers are held back. ``read_delay_s`` delays the answers
    to all other reads of the table.
    """

    def __init__(self, node: Node, table: str) -> None:
        self._connection = node.process._store
        self._read = self._connection.read
        self._table = table
        self._is_open = asyncio.Event()
        self._is_open.set()
        self._loses_history = False
        self._held_partition: str | None = None
        self._may_end_read = asyncio.Event()
        self.is_reading_table = asyncio.Event()
        self.fails = False
        self.read_delay_s = 0.0
        self._connection.read = self._gated_read

    def close(self) -> None:
        """Hold back the answers of the feed from now on."""
        self._is_open.clear()

    def lose_history(self, last_partition: str) -> None:
        """Let the process read the whole table, and hold back its end.

        :param last_partition: partition whose rows are held back.
        """
        self._loses_history = True
        self._held_partition = last_partition
        self._may_end_read.clear()

    def end_read(self) -> None:
        """Let the read of the whole table end; close the gate."""
        self.close()
        self._held_partition = None
        self._may_end_read.set()

    async def _gated_read(
        self, name: str, query: dict[str, str], *args: Any, **options: Any
    ) -> Any:
        if query.get('table') != self._table:
            return await self._read(name, query, *args, **options)
        if name == 'rows-feed':
            return await self._read_feed(name, query, *args, **options)
        page = await self._read(name, query, *args, **options)
        await asyncio.sleep(self.read_delay_s)
        if query.get('part') == self._held_partition:
            self.is_reading_table.set()
            await self._may_end_read.wait()
        return page

    async def _read_feed(self, *args: Any, **options: Any) -> Any:
        if self._loses_history:
            self._loses_history = False
            raise HistoryLostError('the history is lost')
        if self.fails and not self._is_open.is_set():
            raise StoreUnavailableError('the feed fails')
        page = await self._read(*args, **options)
        if self.fails and not self._is_open.is_set():
            raise StoreUnavailableError('the feed fails')
        await self._is_open.wait()
        return page
