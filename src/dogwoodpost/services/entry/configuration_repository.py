"""Reads the configuration from the platform's services."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import TypeVar

import msgspec

from dogwoodpost.core.configuration import apply_delta
from dogwoodpost.core.configuration import Configuration
from dogwoodpost.core.configuration import records
from dogwoodpost.errors import RevisionNotKeptError
from dogwoodpost.errors import StoreUnavailableError
from dogwoodpost.ports.table_store import Row

if TYPE_CHECKING:
    from collections.abc import Sequence

    from dogwoodpost.core import ids
    from dogwoodpost.ports.clock import Clock
    from dogwoodpost.ports.object_store import ObjectStore
    from dogwoodpost.ports.table_store import TableStore

SCAN_LIMIT = 500

_Record = TypeVar('_Record')


class RepositoryRead(msgspec.Struct, frozen=True, kw_only=True):
    """One consistent read.

    ``rows`` holds the extra rows that were read at the same point in time as
    the head; ``start_s`` is when that read was begun.
    """

    configuration: Configuration
    applied: tuple[records.RevisionRecord, ...]
    head: records.HeadRecord
    head_version: int
    rows: dict[str, Row]
    start_s: float


class ConfigurationRepository:
    """Follows the revisions in the table service."""

    def __init__(
        self, tables: TableStore, objects: ObjectStore, clock: Clock
    ) -> None:
        self.tables = tables
        self._objects = objects
        self._clock = clock

    async def read(
        self, known: Configuration, extra_keys: Sequence[str] = ()
    ) -> RepositoryRead:
        """Return the newest revision, starting from a known one.

        :raises StoreUnavailableError: the store did not answer, or shows an
            older revision than the known one.
        """
        start_s = self._clock.monotonic_s()
        # The next revision comes with the head, so that following one change
        # takes one call; with a slow store two calls outlast the freshness.
        next_key = records.revision_key(known.revision + 1)
        rows = await self.tables.read(
            [records.HEAD_KEY, next_key, *extra_keys]
        )
        head_row = rows.pop(records.HEAD_KEY, None)
        head = records.HeadRecord()
        if head_row is not None:
            head = _decode(head_row.value, records.HeadRecord)
        if head.revision < known.revision:
            raise StoreUnavailableError(
                f'the store shows revision {head.revision}, which is older '
                f'than revision {known.revision} in force here'
            )
        configuration, applied = await self._follow(
            known, head, rows.get(next_key)
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
        """Return the content of an earlier revision.

        :raises RevisionNotKeptError: it is unknown or no longer kept.
        """
        if revision == 0:
            return Configuration()
        key = records.revision_key(revision)
        row = (await self.tables.read([key])).get(key)
        if row is None:
            raise _not_kept(revision)
        snapshot_revision = _decode(
            row.value, records.RevisionRecord
        ).snapshot_revision
        base = await self._snapshot(snapshot_revision)
        if base is None:
            raise _not_kept(revision)
        content, _ = await self._replay(base, revision)
        if content.revision != revision:
            raise _not_kept(revision)
        return content

    async def history(
        self, after: ids.Revision, limit: int
    ) -> list[records.RevisionRecord]:
        """Return the records of the revisions after a given one."""
        rows = await self.tables.scan(
            records.REVISION_PREFIX,
            after=records.revision_key(after),
            limit=limit,
        )
        return [_decode(row.value, records.RevisionRecord) for row in rows]

    async def store_snapshot(self, configuration: Configuration) -> None:
        """Store a committed revision; a repeat stores the same bytes."""
        data = msgspec.json.encode(configuration, order='deterministic')
        name = records.snapshot_name(configuration.revision)
        await self._objects.put(name, data)

    async def delete_snapshot(self, revision: ids.Revision) -> None:
        """Delete the snapshot of a revision."""
        await self._objects.delete(records.snapshot_name(revision))

    async def _follow(
        self,
        known: Configuration,
        head: records.HeadRecord,
        next_row: Row | None,
    ) -> tuple[Configuration, list[records.RevisionRecord]]:
        if head.revision == known.revision:
            return known, []
        if head.revision == known.revision + 1 and next_row is not None:
            record = _decode(next_row.value, records.RevisionRecord)
            return apply_delta(known, record.delta), [record]
        base = known
        if head.snapshot_revision > known.revision + SCAN_LIMIT or (
            known.revision + 1 < head.oldest_revision
        ):
            base = await self._snapshot(head.snapshot_revision) or known
        configuration, applied = await self._replay(base, head.revision)
        if configuration.revision < head.revision:
            raise StoreUnavailableError(
                f'revision {configuration.revision + 1} is missing; the head '
                f'is {head.revision}'
            )
        return configuration, applied

    async def _snapshot(self, revision: ids.Revision) -> Configuration | None:
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
            limit = min(last - configuration.revision, SCAN_LIMIT)
            found = await self.history(configuration.revision, limit)
            for record in found:
                if record.revision != configuration.revision + 1:
                    return configuration, applied
                configuration = apply_delta(configuration, record.delta)
                applied.append(record)
            if not found:
                break
        return configuration, applied


def _not_kept(revision: ids.Revision) -> RevisionNotKeptError:
    return RevisionNotKeptError(f'revision {revision} is not kept')


def _decode(data: bytes, record_type: type[_Record]) -> _Record:
    try:
        return msgspec.json.decode(data, type=record_type)
    except msgspec.MsgspecError as error:
        # Treated like an outage: nothing can be known from such a store.
        raise StoreUnavailableError(f'malformed row: {error}') from error
