"""Commits configuration changes to the store."""

from __future__ import annotations

import uuid
from typing import TYPE_CHECKING

import msgspec

from dogwoodpost.core import ids
from dogwoodpost.core.configuration import apply_change
from dogwoodpost.core.configuration import compute_delta
from dogwoodpost.core.configuration import field_differences
from dogwoodpost.core.configuration import records
from dogwoodpost.core.configuration import validate
from dogwoodpost.core.configuration.changes import Change
from dogwoodpost.core.configuration.history import plan_trim
from dogwoodpost.core.configuration.history import prune_revoked_keys
from dogwoodpost.core.configuration.history import SNAPSHOT_INTERVAL_REVISIONS
from dogwoodpost.core.configuration.known_entries import member_key
from dogwoodpost.core.decoding import decode_json_row
from dogwoodpost.errors import ConfigurationConflictError
from dogwoodpost.errors import EntryNotReadyError
from dogwoodpost.errors import InvalidInputError
from dogwoodpost.errors import RequestIdReusedError
from dogwoodpost.errors import RevisionNotKeptError
from dogwoodpost.errors import StoreConflictError
from dogwoodpost.errors import StoreError
from dogwoodpost.errors import StoreUnavailableError
from dogwoodpost.ports.table_store import Check
from dogwoodpost.ports.table_store import Write

if TYPE_CHECKING:
    import random

    from dogwoodpost.core.configuration import Configuration
    from dogwoodpost.ports.clock import Clock
    from dogwoodpost.services.entry.configuration_repository import (
        ConfigurationRepository,
    )
    from dogwoodpost.services.entry.configuration_repository import (
        RepositoryRead,
    )
    from dogwoodpost.services.entry.configuration_service import (
        ConfigurationService,
    )

# Of several concurrent changes one commits and the others have to retry. An
# operator who loses against this many others gets StoreUnavailableError.
MAX_COMMIT_ATTEMPTS = 16
MAX_RETRY_DELAY_S = 0.2


class ChangeRequest(msgspec.Struct, frozen=True, kw_only=True):
    """A configuration change, with the data that makes a repeat idempotent.

    Only repeats of a request may have the same ``fingerprint``. ``subject``
    names what the change created; it is stored for the result of a repeat.
    Without a ``base_revision`` the change applies to any revision.
    """

    request_id: ids.RequestId
    fingerprint: str
    change: Change
    base_revision: ids.Revision | None = None
    subject: str = ''


class ChangeOutcome(msgspec.Struct, frozen=True, kw_only=True):
    """Result of a change.

    ``repeated`` is true if an earlier request with this id made the change.
    """

    revision: ids.Revision
    subject: str
    repeated: bool


class ConfigurationEditor:
    """Commits changes by compare-and-set on the head row.

    :param process_id: id of this entry. Each transaction checks that the row
        of its registration is unchanged: once the row is gone, other entries
        no longer query this entry before they conclude that the store is
        down, so it must not accept changes any more.
    """

    def __init__(
        self,
        service: ConfigurationService,
        repository: ConfigurationRepository,
        clock: Clock,
        rng: random.Random,
        *,
        process_id: ids.ProcessId,
    ) -> None:
        self._service = service
        self._repository = repository
        self._clock = clock
        self._rng = rng
        self._member_key = member_key(process_id)
        self._last_head = records.HeadRecord()

    async def change(self, request: ChangeRequest) -> ChangeOutcome:
        """Commit a change and put it in force at this entry.

        A repeat of a committed request returns the outcome of the first one.

        :raises ConfigurationConflictError: the base revision is not the
            current one.
        :raises InvalidInputError: the resulting configuration is invalid.
        :raises RequestIdReusedError: the request id was used for another
            change.
        :raises EntryNotReadyError: this entry is not registered, or not yet
            known to all other entries.
        :raises StoreError: the store is unavailable, the outcome is unknown,
            or too many other changes were committed meanwhile. A repeat with
            the same request id is safe.
        """
        for _ in range(MAX_COMMIT_ATTEMPTS):
            read = await self._read(request)
            repeated = self._earlier_outcome(read, request)
            if repeated is not None:
                return repeated
            await self._check_base(read, request)
            if not self._service.accepts_changes():
                raise EntryNotReadyError(
                    'this entry is not yet known to all other entries; '
                    'try again shortly'
                )
            try:
                return await self._commit_change(read, request)
            except StoreConflictError:
                delay_s = self._rng.uniform(0, MAX_RETRY_DELAY_S)
                await self._clock.sleep(delay_s)
        raise StoreUnavailableError(
            'too many concurrent configuration changes; try again'
        )

    async def _read(self, request: ChangeRequest) -> RepositoryRead:
        oldest = self._last_head.oldest_revision
        read = await self._repository.read(
            self._service.current(),
            [
                records.operation_key(request.request_id),
                self._member_key,
                records.revision_key(oldest),
                records.revision_key(oldest + 1),
                records.revision_key(oldest + 2),
            ],
        )
        self._last_head = read.head
        self._service.apply_read(read)
        return read

    def _earlier_outcome(
        self, read: RepositoryRead, request: ChangeRequest
    ) -> ChangeOutcome | None:
        row = read.rows.get(records.operation_key(request.request_id))
        if row is None:
            return None
        earlier = decode_json_row(row.value, records.OperationRecord)
        if earlier.fingerprint != request.fingerprint:
            raise RequestIdReusedError(
                f'request id {request.request_id!r} was used for another '
                f'change, which made revision {earlier.revision}'
            )
        return ChangeOutcome(
            revision=earlier.revision, subject=earlier.subject, repeated=True
        )

    async def _check_base(
        self, read: RepositoryRead, request: ChangeRequest
    ) -> None:
        base_revision = request.base_revision
        current = read.configuration
        if base_revision is None or base_revision == current.revision:
            return
        try:
            base = await self._repository.content_at(base_revision)
        except RevisionNotKeptError:
            raise ConfigurationConflictError(current.revision, ['*']) from None
        raise ConfigurationConflictError(
            current.revision,
            [item.place for item in field_differences(base, current)],
        )

    async def _commit_change(
        self, read: RepositoryRead, request: ChangeRequest
    ) -> ChangeOutcome:
        base = read.configuration
        result = apply_change(base, request.change)
        findings = validate(result)
        if findings:
            raise InvalidInputError(findings)
        trim = plan_trim(read.head, read.rows)
        result = prune_revoked_keys(result, trim.oldest_revision)
        snapshot_revision = await self._store_snapshot_if_due(read)
        record = records.RevisionRecord(
            revision=result.revision,
            snapshot_revision=snapshot_revision,
            request_id=request.request_id,
            change=type(request.change).__name__,
            accepted_at_ms=int(self._clock.wall_s() * 1000),
            delta=compute_delta(base, result),
        )
        head = records.HeadRecord(
            revision=result.revision,
            snapshot_revision=snapshot_revision,
            oldest_revision=trim.oldest_revision,
        )
        writes = [
            _encoded_write(records.HEAD_KEY, head),
            _encoded_write(records.revision_key(result.revision), record),
            self._operation_write(request, result),
            *(Write(key, None) for key in trim.deleted_keys),
        ]
        await self._commit(read, request, writes)
        self._service.apply_accepted(result, record)
        await self._delete_snapshots(trim.unused_snapshots)
        return ChangeOutcome(
            revision=result.revision, subject=request.subject, repeated=False
        )

    def _operation_write(
        self, request: ChangeRequest, result: Configuration
    ) -> Write:
        operation = records.OperationRecord(
            fingerprint=request.fingerprint,
            revision=result.revision,
            subject=request.subject,
        )
        return _encoded_write(
            records.operation_key(request.request_id), operation
        )

    async def _commit(
        self,
        read: RepositoryRead,
        request: ChangeRequest,
        writes: list[Write],
    ) -> None:
        member = read.rows.get(self._member_key)
        if member is None:
            raise EntryNotReadyError('this entry is not registered')
        checks = [
            Check(records.HEAD_KEY, read.head_version),
            Check(records.operation_key(request.request_id), 0),
            Check(self._member_key, member.version),
        ]
        operation_id = ids.OperationId(f'config/{uuid.uuid4().hex}')
        await self._repository.tables.commit(operation_id, checks, writes)

    async def _store_snapshot_if_due(
        self, read: RepositoryRead
    ) -> ids.Revision:
        base = read.configuration
        newest = read.head.snapshot_revision
        if base.revision - newest < SNAPSHOT_INTERVAL_REVISIONS:
            return newest
        try:
            await self._repository.store_snapshot(base)
        except StoreError:
            # The next change tries again. Until then readers replay more
            # revision rows.
            return newest
        return base.revision

    async def _delete_snapshots(
        self, revisions: tuple[ids.Revision, ...]
    ) -> None:
        for revision in revisions:
            try:
                await self._repository.delete_snapshot(revision)
            except StoreError:
                return


def fingerprint_of(change: Change) -> str:
    """Return a canonical encoding, equal only for equal changes."""
    return msgspec.json.encode(change, order='deterministic').decode()


def _encoded_write(key: str, record: msgspec.Struct) -> Write:
    return Write(key, msgspec.json.encode(record))
