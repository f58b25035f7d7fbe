"""Reads configuration revisions and snapshots from the platform's stores."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import TypeVar

import msgspec

from dogwoodpost.core.configuration import apply_delta
from dogwoodpost.core.configuration import Configuration
from dogwoodpost.core.configuration import records
from dogwoodpost.core.decoding import decode_json
from dogwoodpost.errors import MalformedDataError
from dogwoodpost.errors import RevisionNotKeptError
from dogwoodpost.errors import StoreUnavailableError
from dogwoodpost.ports.table_store import Row

if TYPE_CHECKING:
    from collections.abc import Sequence

    from dogwoodpost.core import ids
    from dogwoodpost.ports.clock import Clock
    from dogwoodpost.ports.object_store import ObjectStore
    from dogwoodpost.ports.table_store import TableStore

SCAN_PAGE_SIZE = 500

_Record = TypeVar('_Record')


class RepositoryRead(msgspec.Struct, frozen=True, kw_only=True):
    """Result of reading the current revision.

    ``rows`` holds the extra rows, read in the same call as the head.
    ``start_s`` is when that call began, in monotonic seconds. ``applied``
    holds the revisions that were replayed to reach ``configuration``.
    """

    configuration: Configuration
    applied: tuple[records.RevisionRecord, ...]
    head: records.HeadRecord
    head_version: int
    rows: dict[str, Row]
    start_s: float


class ConfigurationRepository:
    """Accesses revisions in the table store and their snapshots.

    Snapshots are kept in the object store.
    """

    def __init__(
        self, tables: TableStore, objects: ObjectStore, clock: Clock
    ) -> None:
        self.tables = tables
        self._objects = objects
        self._clock = clock

    async def read(
        self, current: Configuration, extra_keys: Sequence[str] = ()
    ) -> RepositoryRead:
        """Read the newest revision by applying the deltas after ``current``.

        :param extra_keys: keys of rows to read in the same call as the head.
        :raises StoreUnavailableError: the store did not answer, a row is
            missing or malformed, or the store's revision is older than
            ``current``.
        """
        start_s = self._clock.monotonic_s()
        # The next revision is read together with the head, so that one new
        # change takes one call. With a slow store, two calls would take
        # longer than the configuration stays fresh.
        next_key = records.revision_key(current.revision + 1)
        rows = await self.tables.read(
            [records.HEAD_KEY, next_key, *extra_keys]
        )
        head_row = rows.pop(records.HEAD_KEY, None)
        head = records.HeadRecord()
        if head_row is not None:
            head = _decode(head_row.value, records.HeadRecord)
        if head.revision < current.revision:
            raise StoreUnavailableError(
                f'the store returned revision {head.revision}, which is older '
                f'than revision {current.revision} in force at this entry'
            )
        configuration, applied = await self._advance_to_head(
            current, head, rows.get(next_key)
        )
        return RepositoryRead(
            configuration=configuration,
            applied=tuple(applied),
            head=head,
            head_version=0 if head_row is None else head_row.version,
            rows=rows,
            start_s=start_s,
        )

    async def content_at(self, revision: ids.Revision) -> Configuration:
        """Return the configuration as of a revision.

        :raises RevisionNotKeptError: the revision does not exist or its
            history is no longer kept.
        """
        if revision == 0:
            return Configuration()
        key = records.revision_key(revision)
        row = (await self.tables.read([key])).get(key)
        if row is None:
            raise _not_kept_error(revision)
        snapshot_revision = _decode(
            row.value, records.RevisionRecord
        ).snapshot_revision
        base = await self._load_snapshot(snapshot_revision)
        if base is None:
            raise _not_kept_error(revision)
        content, _ = await self._replay(base, revision)
        if content.revision != revision:
            raise _not_kept_error(revision)
        return content

    async def history(
        self, after: ids.Revision, limit: int
    ) -> list[records.RevisionRecord]:
        """Return up to ``limit`` revision records after a revision."""
        rows = await self.tables.scan(
            records.REVISION_PREFIX,
            after=records.revision_key(after),
            limit=limit,
        )
        return [_decode(row.value, records.RevisionRecord) for row in rows]

    async def store_snapshot(self, configuration: Configuration) -> None:
        """Store the snapshot of a committed revision.

        The encoding is deterministic, so a repeat stores the same bytes.
        """
        data = msgspec.json.encode(configuration, order='deterministic')
        name = records.snapshot_name(configuration.revision)
        await self._objects.put(name, data)

    async def delete_snapshot(self, revision: ids.Revision) -> None:
        """Delete the snapshot of a revision."""
        await self._objects.delete(records.snapshot_name(revision))

    async def _advance_to_head(
        self,
        current: Configuration,
        head: records.HeadRecord,
        next_row: Row | None,
    ) -> tuple[Configuration, list[records.RevisionRecord]]:
        if head.revision == current.revision:
            return current, []
        if head.revision == current.revision + 1 and next_row is not None:
            record = _decode(next_row.value, records.RevisionRecord)
            return apply_delta(current, record.delta), [record]
        base = current
        if head.snapshot_revision > current.revision + SCAN_PAGE_SIZE or (
            current.revision + 1 < head.oldest_revision
        ):
            base = await self._load_snapshot(head.snapshot_revision) or current
        configuration, applied = await self._replay(base, head.revision)
        if configuration.revision < head.revision:
            raise StoreUnavailableError(
                f'revision {configuration.revision + 1} is missing from the '
                f'store, whose head is revision {head.revision}'
            )
        return configuration, applied

    async def _load_snapshot(
        self, revision: ids.Revision
    ) -> Configuration | None:
        if revision == 0:
            return Configuration()
        data = await self._objects.get(records.snapshot_name(revision))
        return None if data is None else _decode(data, Configuration)

    async def _replay(
        self, base: Configuration, last: ids.Revision
    ) -> tuple[Configuration, list[records.RevisionRecord]]:
        configuration = base
        applied: list[records.RevisionRecord] = []
        while configuration.revision < last:
            limit = min(last - configuration.revision, SCAN_PAGE_SIZE)
            page = await self.history(configuration.revision, limit)
            for record in page:
                if record.revision != configuration.revision + 1:
                    return configuration, applied
                configuration = apply_delta(configuration, record.delta)
                applied.append(record)
            if not page:
                break
        return configuration, applied


def _not_kept_error(revision: ids.Revision) -> RevisionNotKeptError:
    return RevisionNotKeptError(
        f'revision {revision} does not exist or is no longer kept'
    )


def _decode(data: bytes, record_type: type[_Record]) -> _Record:
    try:
        return decode_json(data, record_type)
    except MalformedDataError as error:
        # Treated like an outage, because the store's state is unknown.
        raise StoreUnavailableError(f'malformed row: {error}') from error
