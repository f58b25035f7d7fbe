"""In-memory table store and object store with injected faults."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from dogwoodpost.errors import StoreConflictError
from dogwoodpost.errors import StoreOutcomeUnknownError
from dogwoodpost.errors import StoreUnavailableError
from dogwoodpost.ports.object_store import ObjectStore
from dogwoodpost.ports.table_store import Row
from dogwoodpost.ports.table_store import TableStore

if TYPE_CHECKING:
    from collections.abc import Sequence

    from dogwoodpost.core import ids
    from dogwoodpost.ports.clock import Clock
    from dogwoodpost.ports.table_store import Check
    from dogwoodpost.ports.table_store import Write


class StoreFaults:
    """Injected faults of one or more stores; may be changed at any time.

    ``down`` makes every call fail. ``latency_s`` delays every call by that
    many seconds. ``lost_request_count`` is the number of next writes that
    are dropped, ``lost_response_count`` the number of next writes that take
    effect; the caller gets no response to either. ``lost_read_count`` is the
    number of next reads that fail.
    """

    def __init__(self, clock: Clock | None = None) -> None:
        self._clock = clock
        self.down = False
        self.latency_s = 0.0
        self.lost_request_count = 0
        self.lost_response_count = 0
        self.lost_read_count = 0

    async def before_read(self) -> None:
        """Apply the faults that affect reads.

        :raises StoreUnavailableError: the store is down, or the response was
            lost.
        """
        await self._apply_common_faults()
        if self.lost_read_count > 0:
            self.lost_read_count -= 1
            raise StoreUnavailableError('the response was lost')

    async def before_write(self) -> bool:
        """Apply the faults before a write; return whether it is dropped.

        :raises StoreUnavailableError: the store is down.
        """
        await self._apply_common_faults()
        if self.lost_request_count > 0:
            self.lost_request_count -= 1
            return True
        return False

    def consume_lost_response(self) -> bool:
        """Use up one lost-response fault; return whether it applies."""
        if self.lost_response_count > 0:
            self.lost_response_count -= 1
            return True
        return False

    async def _apply_common_faults(self) -> None:
        # Yields to the event loop even without latency, so that tests cover
        # the interleavings that a remote store would cause.
        if self.latency_s > 0.0 and self._clock is not None:
            await self._clock.sleep(self.latency_s)
        else:
            await asyncio.sleep(self.latency_s)
        if self.down:
            raise StoreUnavailableError('the store is down')


class MemoryTableStore(TableStore):
    """In-memory table store.

    ``read_count`` counts reads and scans, ``write_count`` counts commits;
    both include failed calls.
    """

    def __init__(self, faults: StoreFaults | None = None) -> None:
        self.faults = faults or StoreFaults()
        self.read_count = 0
        self.write_count = 0
        self.rows: dict[str, Row] = {}
        self._results: dict[ids.OperationId, dict[str, int]] = {}
        self._last_version = 0

    async def read(self, keys: Sequence[str]) -> dict[str, Row]:
        """Return the rows of the keys that exist."""
        self.read_count += 1
        await self.faults.before_read()
        return {key: self.rows[key] for key in keys if key in self.rows}

    async def scan(
        self, prefix: str, *, after: str = '', limit: int = 1000
    ) -> list[Row]:
        """Return up to ``limit`` rows with a prefix, in key order."""
        self.read_count += 1
        await self.faults.before_read()
        keys = sorted(
            key for key in self.rows if key.startswith(prefix) and key > after
        )
        return [self.rows[key] for key in keys[:limit]]

    async def commit(
        self,
        operation_id: ids.OperationId,
        checks: Sequence[Check],
        writes: Sequence[Write],
    ) -> dict[str, int]:
        """Apply all writes if all checks hold; return versions by key.

        A repeated operation id returns the versions of the first commit.
        """
        self.write_count += 1
        if await self.faults.before_write():
            raise StoreOutcomeUnknownError('the request was lost')
        if operation_id not in self._results:
            self._check(checks)
            self._results[operation_id] = self._apply(writes)
        if self.faults.consume_lost_response():
            raise StoreOutcomeUnknownError('the response was lost')
        return dict(self._results[operation_id])

    def _check(self, checks: Sequence[Check]) -> None:
        failed = [
            check.key
            for check in checks
            if self._version(check.key) != check.version
        ]
        if failed:
            raise StoreConflictError(failed)

    def _version(self, key: str) -> int:
        row = self.rows.get(key)
        return row.version if row is not None else 0

    def _apply(self, writes: Sequence[Write]) -> dict[str, int]:
        versions: dict[str, int] = {}
        for write in writes:
            if write.value is None:
                self.rows.pop(write.key, None)
                versions[write.key] = 0
                continue
            # All keys share one version sequence, so a key that is deleted
            # and written again gets a higher version than before.
            self._last_version += 1
            versions[write.key] = self._last_version
            self.rows[write.key] = Row(
                write.key, write.value, self._last_version
            )
        return versions


class MemoryObjectStore(ObjectStore):
    """In-memory object store.

    A lost response to a write raises ``StoreUnavailableError``, because
    object writes are idempotent and safe to repeat.
    """

    def __init__(self, faults: StoreFaults | None = None) -> None:
        self.faults = faults or StoreFaults()
        self.objects: dict[str, bytes] = {}
        self.get_count = 0
        self.put_count = 0

    async def put(self, name: str, data: bytes) -> None:
        """Store an object."""
        self.put_count += 1
        await self._write(name, data)

    async def get(self, name: str) -> bytes | None:
        """Return an object's data, or None if there is none."""
        self.get_count += 1
        await self.faults.before_read()
        return self.objects.get(name)

    async def delete(self, name: str) -> None:
        """Delete an object."""
        await self._write(name, None)

    async def _write(self, name: str, data: bytes | None) -> None:
        if await self.faults.before_write():
            raise StoreUnavailableError('the request was lost')
        if data is None:
            self.objects.pop(name, None)
        else:
            self.objects[name] = data
        if self.faults.consume_lost_response():
            raise StoreUnavailableError('the response was lost')
