"""Stores the steps and batches of one trainer."""

from __future__ import annotations

import contextlib
from typing import TYPE_CHECKING

import msgspec
import xxhash

from dogwoodpost.core import ids
from dogwoodpost.core.rollouts import records
from dogwoodpost.core.rollouts import slot_bitmap
from dogwoodpost.core.rollouts.batch_log import BatchEntry
from dogwoodpost.core.rollouts.batch_log import BatchLog
from dogwoodpost.core.rollouts.batch_log import DELIVERABLE_STATES
from dogwoodpost.core.rollouts.batch_log import inherited_facts
from dogwoodpost.core.rollouts.batch_log import SampleFacts
from dogwoodpost.core.rollouts.records import BatchBody
from dogwoodpost.core.rollouts.records import BatchRecord
from dogwoodpost.core.rollouts.records import BatchState
from dogwoodpost.core.rollouts.records import CursorRecord
from dogwoodpost.core.rollouts.records import StepRecord
from dogwoodpost.core.rollouts.records import StepStatus
from dogwoodpost.core.rollouts.step_spec import StepSpec
from dogwoodpost.errors import StoreConflictError
from dogwoodpost.errors import StoreUnavailableError
from dogwoodpost.ports.table_store import Check
from dogwoodpost.ports.table_store import Write
from dogwoodpost.services.rollouts.trainer_rows import TrainerRows

if TYPE_CHECKING:
    from collections.abc import Sequence

    from dogwoodpost.ports.lease_guard import LeaseGuard
    from dogwoodpost.ports.object_store import ObjectStore
    from dogwoodpost.ports.table_store import TableStore
    from dogwoodpost.services.rollouts.store_retrier import StoreRetrier

# Older finished steps are deleted. A repeated submission is recognized only
# while its step is stored.
MAX_FINISHED_STEP_COUNT = 32


class StepEntry(msgspec.Struct, kw_only=True):
    """Row of a step, the version of the row and the specification."""

    record: StepRecord
    row_version: int
    spec: StepSpec


class TrainerRepository:
    """Steps, batches and cursor of one trainer, in the table and in memory.

    Each change is one transaction that checks the lease. After a change whose
    result is not known, ``is_current`` is false until :meth:`load` has read
    the rows again.
    """

    def __init__(
        self,
        trainer_id: ids.TrainerId,
        table: TableStore,
        objects: ObjectStore,
        retrier: StoreRetrier,
        guard: LeaseGuard,
    ) -> None:
        self.trainer_id = trainer_id
        self.guard = guard
        self.is_current = False
        self.steps: dict[ids.StepId, StepEntry] = {}
        self.log = BatchLog()
        self.cursor: CursorRecord | None = None
        self._cursor_version = 0
        self._table = table
        self._objects = objects
        self._retrier = retrier
        self._rows = TrainerRows(trainer_id, table, objects, retrier)
        # Facts of the batches that this process claims. They contain the
        # start times, which are not stored.
        self._claimed_facts: dict[str, tuple[SampleFacts, ...]] = {}

    async def load(self) -> None:
        """Read all rows of the trainer."""
        loaded = await self._rows.load()
        self.cursor = loaded.cursor
        self._cursor_version = loaded.cursor_version
        await self._replace_steps(loaded.steps)
        await self._replace_batches(loaded.batches)
        self.is_current = True

    async def create_step(self, spec: StepSpec) -> None:
        """Write a new step.

        :raises StoreConflictError: the rows have changed; load again.
        """
        digest = spec.digest
        name = records.spec_object(self.trainer_id, spec.step_id, digest)
        data = msgspec.msgpack.encode(spec)
        await self._retrier.run('put', lambda: self._objects.put(name, data))
        cursor = self.cursor or CursorRecord(
            client_account_id=spec.client_account_id
        )
        numbers = [entry.record.number for entry in self.steps.values()]
        record = StepRecord(
            step_id=spec.step_id,
            number=max(numbers, default=0) + 1,
            digest=digest,
            slot_count=spec.slot_count,
            claims=slot_bitmap.empty(spec.slot_count),
            remaining_s=spec.deadline_s,
        )
        key = self._step_key(spec.step_id)
        removed = self._removable_steps()
        versions = await self._commit(
            [Check(key, 0), self._cursor_check()],
            [
                Write(key, msgspec.msgpack.encode(record)),
                self._cursor_write(cursor),
                *(Write(self._step_key(step), None) for step in removed),
            ],
        )
        self._apply_cursor(cursor, versions)
        self.steps[spec.step_id] = StepEntry(
            record=record, row_version=versions[key], spec=spec
        )
        for step_id in removed:
            old = self.steps.pop(step_id).record
            await self._delete_object(
                records.spec_object(self.trainer_id, step_id, old.digest)
            )

    async def claim(
        self,
        step_id: ids.StepId,
        body: BatchBody,
        facts: Sequence[SampleFacts],
        remaining_s: float,
    ) -> BatchRecord:
        """Claim slots and append their batch in one transaction.

        :raises StoreConflictError: the rows have changed; load again.
        """
        step = self.steps[step_id]
        sequence = self.log.last_sequence + 1
        data = msgspec.msgpack.encode(body)
        digest = xxhash.xxh3_128_hexdigest(data)
        record = BatchRecord(
            batch_id=ids.BatchId(f'{step_id}.{sequence}'),
            sequence=sequence,
            step_id=step_id,
            slots=tuple(fact.slot for fact in facts),
            object_name=(
                f'rollout/{self.trainer_id}/{step_id}/'
                f'batch-{sequence}-{digest}'
            ),
        )
        self._claimed_facts[record.object_name] = tuple(facts)
        await self._retrier.run(
            'put', lambda: self._objects.put(record.object_name, data)
        )
        changed = step.record.with_claims(record.slots, claimed=True)
        changed = msgspec.structs.replace(changed, remaining_s=remaining_s)
        batch_key = self._batch_key(sequence)
        versions = await self._commit(
            [Check(batch_key, 0), self._step_check(step_id)],
            [
                Write(batch_key, msgspec.msgpack.encode(record)),
                self._step_write(changed),
            ],
        )
        self._apply_step(changed, versions)
        self.log.add(
            BatchEntry(
                record=record,
                row_version=versions[batch_key],
                facts=tuple(facts),
            )
        )
        return record

    async def expire(self, step_id: ids.StepId) -> None:
        """Mark a step as expired after its deadline."""
        record = msgspec.structs.replace(
            self.steps[step_id].record,
            status=StepStatus.EXPIRED,
            remaining_s=0.0,
        )
        versions = await self._commit(
            [self._step_check(step_id)], [self._step_write(record)]
        )
        self._apply_step(record, versions)

    async def issue(self, entry: BatchEntry) -> None:
        """Record that a batch is sent, or confirm it for a repeated fetch.

        :raises StoreConflictError: the batch or the lease has changed.
        """
        if entry.record.state is BatchState.ISSUED:
            await self._check_unchanged(entry)
            return
        record = msgspec.structs.replace(entry.record, state=BatchState.ISSUED)
        await self._write_batch(entry, record, [], [])

    async def acknowledge(self, entry: BatchEntry) -> None:
        """Record that the trainer has a batch; remove settled batches."""
        record = msgspec.structs.replace(
            entry.record, state=BatchState.ACKNOWLEDGED
        )
        await self._settle(entry, record, [], [])

    async def void(self, entry: BatchEntry) -> None:
        """Void a batch and release its slots in one transaction."""
        record = msgspec.structs.replace(entry.record, state=BatchState.VOID)
        step_id = record.step_id
        step = self.steps[step_id].record.with_claims(
            record.slots, claimed=False
        )
        versions = await self._settle(
            entry,
            record,
            [self._step_check(step_id)],
            [self._step_write(step)],
        )
        self._apply_step(step, versions)

    async def body(self, record: BatchRecord) -> BatchBody:
        """Return the samples of a batch."""
        return await self._rows.body(record)

    async def _settle(
        self,
        entry: BatchEntry,
        record: BatchRecord,
        checks: list[Check],
        writes: list[Write],
    ) -> dict[str, int]:
        removed = self.log.removable_after(record)
        if not removed:
            return await self._write_batch(entry, record, checks, writes)
        assert self.cursor is not None
        acknowledged = [
            batch.sequence
            for batch in removed
            if batch.state is BatchState.ACKNOWLEDGED
        ]
        last = max([*acknowledged, self.cursor.acknowledged_sequence])
        cursor = msgspec.structs.replace(
            self.cursor,
            settled_sequence=removed[-1].sequence,
            acknowledged_sequence=last,
        )
        deletes = [
            Write(self._batch_key(batch.sequence), None) for batch in removed
        ]
        versions = await self._commit(
            [self._batch_check(entry), self._cursor_check(), *checks],
            [*deletes, self._cursor_write(cursor), *writes],
        )
        self._apply_cursor(cursor, versions)
        self.log.remove_settled(cursor.settled_sequence)
        for batch in removed:
            self._claimed_facts.pop(batch.object_name, None)
            await self._delete_object(batch.object_name)
        return versions

    async def _write_batch(
        self,
        entry: BatchEntry,
        record: BatchRecord,
        checks: list[Check],
        writes: list[Write],
    ) -> dict[str, int]:
        key = self._batch_key(record.sequence)
        versions = await self._commit(
            [self._batch_check(entry), *checks],
            [Write(key, msgspec.msgpack.encode(record)), *writes],
        )
        entry.record = record
        entry.row_version = versions[key]
        return versions

    async def _check_unchanged(self, entry: BatchEntry) -> None:
        fence = self.guard.fence_check()
        keys = [fence.key, self._batch_key(entry.record.sequence)]
        rows = await self._retrier.run('read', lambda: self._table.read(keys))
        expected = {keys[0]: fence.version, keys[1]: entry.row_version}
        actual = {key: rows[key].version if key in rows else 0 for key in keys}
        if actual != expected:
            self.is_current = False
            raise StoreConflictError(
                [key for key in keys if actual[key] != expected[key]]
            )

    async def _commit(
        self, checks: list[Check], writes: list[Write]
    ) -> dict[str, int]:
        operation_id = self._retrier.new_operation_id()
        # Remains false if the call is cancelled, conflicts or loses the lease.
        self.is_current = False
        versions = await self._retrier.run(
            'commit',
            lambda: self._table.commit(
                operation_id, [self.guard.fence_check(), *checks], writes
            ),
        )
        self.is_current = True
        return versions

    async def _replace_steps(
        self, versioned_rows: list[tuple[StepRecord, int]]
    ) -> None:
        steps = {}
        for record, version in versioned_rows:
            previous = self.steps.get(record.step_id)
            spec = previous.spec if previous else await self._rows.spec(record)
            steps[record.step_id] = StepEntry(
                record=record, row_version=version, spec=spec
            )
        self.steps = steps

    async def _replace_batches(
        self, versioned_rows: list[tuple[BatchRecord, int]]
    ) -> None:
        log = BatchLog(self.cursor.settled_sequence if self.cursor else 0)
        for record, version in versioned_rows:
            facts = self._claimed_facts.get(record.object_name)
            if facts is None and record.state in DELIVERABLE_STATES:
                facts = inherited_facts(record, await self.body(record))
            log.add(
                BatchEntry(
                    record=record, row_version=version, facts=facts or ()
                )
            )
        self.log = log

    def _removable_steps(self) -> list[ids.StepId]:
        in_use = {entry.record.step_id for entry in self.log.entries()}
        finished = sorted(
            (
                entry.record
                for entry in self.steps.values()
                if entry.record.status is not StepStatus.OPEN
                and entry.record.step_id not in in_use
            ),
            key=lambda record: record.number,
        )
        return [step.step_id for step in finished[:-MAX_FINISHED_STEP_COUNT]]

    async def _delete_object(self, name: str) -> None:
        # An object that is not deleted only takes up space.
        with contextlib.suppress(StoreUnavailableError):
            await self._objects.delete(name)

    def _step_key(self, step_id: ids.StepId) -> str:
        return records.step_key(self.trainer_id, step_id)

    def _batch_key(self, sequence: int) -> str:
        return records.batch_key(self.trainer_id, sequence)

    def _step_check(self, step_id: ids.StepId) -> Check:
        return Check(self._step_key(step_id), self.steps[step_id].row_version)

    def _batch_check(self, entry: BatchEntry) -> Check:
        return Check(self._batch_key(entry.record.sequence), entry.row_version)

    def _cursor_check(self) -> Check:
        return Check(records.cursor_key(self.trainer_id), self._cursor_version)

    def _step_write(self, record: StepRecord) -> Write:
        key = self._step_key(record.step_id)
        return Write(key, msgspec.msgpack.encode(record))

    def _cursor_write(self, record: CursorRecord) -> Write:
        key = records.cursor_key(self.trainer_id)
        return Write(key, msgspec.msgpack.encode(record))

    def _apply_step(
        self, record: StepRecord, versions: dict[str, int]
    ) -> None:
        entry = self.steps[record.step_id]
        entry.record = record
        entry.row_version = versions[self._step_key(record.step_id)]

    def _apply_cursor(
        self, record: CursorRecord, versions: dict[str, int]
    ) -> None:
        self.cursor = record
        self._cursor_version = versions[records.cursor_key(self.trainer_id)]
