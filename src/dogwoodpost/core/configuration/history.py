"""Retention of revision rows and snapshots."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from dogwoodpost.core import ids
from dogwoodpost.core.configuration import records
from dogwoodpost.core.decoding import decode_json_row

if TYPE_CHECKING:
    from collections.abc import Mapping

    from dogwoodpost.core.configuration.model import Configuration
    from dogwoodpost.ports.table_store import Row

# A reader replays at most this many revisions after a snapshot, or more if the
# object store was down when the next snapshot was due.
SNAPSHOT_INTERVAL_REVISIONS = 64

# Covers 2.4 days at the target of 8,300 changes a day. The result of a change
# is stored under its request id for the same time.
KEPT_REVISION_COUNT = 20_000

# Old revisions that one change removes at most. More than 1, so that a backlog
# shrinks.
MAX_TRIMMED_PER_CHANGE = 2


class HistoryTrim(msgspec.Struct, frozen=True, kw_only=True):
    """Rows and snapshots that one change removes from the history.

    :param oldest_revision: oldest revision that remains.
    """

    oldest_revision: ids.Revision
    deleted_keys: tuple[str, ...]
    unused_snapshots: tuple[ids.Revision, ...]


def plan_trim(
    head: records.HeadRecord,
    rows: Mapping[str, Row],
    kept: int = KEPT_REVISION_COUNT,
) -> HistoryTrim:
    """Return what the change that follows ``head`` removes.

    :param rows: rows that were read, by key; must include those of the
        oldest revisions.
    :param kept: number of revisions to keep.
    """
    oldest = head.oldest_revision
    deleted: list[str] = []
    snapshots: list[ids.Revision] = []
    for _ in range(MAX_TRIMMED_PER_CHANGE):
        row = rows.get(records.revision_key(oldest))
        following = rows.get(records.revision_key(oldest + 1))
        if row is None or oldest > head.revision + 1 - kept:
            break
        record = _decode(row)
        deleted += [row.key, records.operation_key(record.request_id)]
        if following is not None:
            next_snapshot = _decode(following).snapshot_revision
            if 0 < record.snapshot_revision < next_snapshot:
                snapshots.append(record.snapshot_revision)
        oldest = ids.Revision(oldest + 1)
    return HistoryTrim(
        oldest_revision=oldest,
        deleted_keys=tuple(deleted),
        unused_snapshots=tuple(snapshots),
    )


def prune_revoked_keys(
    configuration: Configuration, oldest_revision: ids.Revision
) -> Configuration:
    """Drop keys that were revoked before the oldest kept revision.

    They are not needed for a restore, because a restore takes no key from
    the earlier content.
    """
    keys = {
        key_id: record
        for key_id, record in configuration.keys.items()
        if record.revoked_revision is None
        or record.revoked_revision >= oldest_revision
    }
    if len(keys) == len(configuration.keys):
        return configuration
    return msgspec.structs.replace(configuration, keys=keys)


def _decode(row: Row) -> records.RevisionRecord:
    return decode_json_row(row.value, records.RevisionRecord)
