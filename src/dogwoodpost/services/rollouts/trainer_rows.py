"""Reads the rows and objects of one trainer."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from dogwoodpost.core.decoding import decode_msgpack_row
from dogwoodpost.core.rollouts import records
from dogwoodpost.core.rollouts.records import BatchBody
from dogwoodpost.core.rollouts.records import BatchRecord
from dogwoodpost.core.rollouts.records import CursorRecord
from dogwoodpost.core.rollouts.records import StepRecord
from dogwoodpost.core.rollouts.step_spec import StepSpec
from dogwoodpost.errors import StoreError

if TYPE_CHECKING:
    from dogwoodpost.core import ids
    from dogwoodpost.ports.object_store import ObjectStore
    from dogwoodpost.ports.table_store import Row
    from dogwoodpost.ports.table_store import TableStore
    from dogwoodpost.services.rollouts.store_retrier import StoreRetrier

SCAN_LIMIT = 1000


class MissingObjectError(StoreError):
    """A row names an object that does not exist."""


class LoadedRows(msgspec.Struct, kw_only=True):
    """The rows of a trainer, each with its version."""

    cursor: CursorRecord | None = None
    cursor_version: int = 0
    steps: list[tuple[StepRecord, int]] = msgspec.field(default_factory=list)
    batches: list[tuple[BatchRecord, int]] = msgspec.field(
        default_factory=list
    )


class TrainerRows:
    """Reads rows and objects, retrying until the store responds."""

    def __init__(
        self,
        trainer_id: ids.TrainerId,
        table: TableStore,
        objects: ObjectStore,
        retrier: StoreRetrier,
    ) -> None:
        self._trainer_id = trainer_id
        self._table = table
        self._objects = objects
        self._retrier = retrier

    async def load(self) -> LoadedRows:
        """Return all rows of the trainer."""
        loaded = LoadedRows()
        for row in await self._scan():
            if row.key.startswith(records.step_prefix(self._trainer_id)):
                step = decode_msgpack_row(row.value, StepRecord)
                loaded.steps.append((step, row.version))
            elif row.key.startswith(records.batch_prefix(self._trainer_id)):
                batch = decode_msgpack_row(row.value, BatchRecord)
                loaded.batches.append((batch, row.version))
            elif row.key == records.cursor_key(self._trainer_id):
                cursor = decode_msgpack_row(row.value, CursorRecord)
                loaded.cursor = cursor
                loaded.cursor_version = row.version
        return loaded

    async def spec(self, record: StepRecord) -> StepSpec:
        """Return the specification of a step.

        :raises MissingObjectError: its object does not exist.
        """
        name = records.spec_object(
            self._trainer_id, record.step_id, record.digest
        )
        return decode_msgpack_row(await self._get(name), StepSpec)

    async def body(self, record: BatchRecord) -> BatchBody:
        """Return the samples of a batch.

        :raises MissingObjectError: their object does not exist.
        """
        data = await self._get(record.object_name)
        return decode_msgpack_row(data, BatchBody)

    async def _get(self, name: str) -> bytes:
        data = await self._retrier.run('get', lambda: self._objects.get(name))
        if data is None:
            raise MissingObjectError(f'object {name} does not exist')
        return data

    async def _scan(self) -> list[Row]:
        prefix = f'rollout/{self._trainer_id}/'
        rows: list[Row] = []
        while True:
            after = rows[-1].key if rows else ''
            page = await self._retrier.run(
                'scan',
                lambda after=after: self._table.scan(  # type: ignore[misc]
                    prefix, after=after, limit=SCAN_LIMIT
                ),
            )
            rows.extend(page)
            if len(page) < SCAN_LIMIT:
                return rows
