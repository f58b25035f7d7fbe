"""Rows of the table store that hold the configuration."""

from __future__ import annotations

import msgspec

from dogwoodpost.core import ids
from dogwoodpost.core.configuration.delta import Delta

HEAD_KEY = 'config/head'
REVISION_PREFIX = 'config/rev/'
OPERATION_PREFIX = 'op/'
SNAPSHOT_PREFIX = 'config/snapshot/'


class HeadRecord(msgspec.Struct, frozen=True, kw_only=True):
    """Row ``config/head``.

    :param snapshot_revision: newest revision with a snapshot in the object
        store; 0 if there is none.
    :param oldest_revision: oldest revision whose row is kept.
    """

    revision: ids.Revision = ids.Revision(0)
    snapshot_revision: ids.Revision = ids.Revision(0)
    oldest_revision: ids.Revision = ids.Revision(1)


class RevisionRecord(msgspec.Struct, frozen=True, kw_only=True):
    """Row ``config/rev/{n}``: a change and the delta that it caused.

    :param snapshot_revision: newest earlier revision with a snapshot.
    """

    revision: ids.Revision
    snapshot_revision: ids.Revision
    request_id: ids.RequestId
    change: str
    accepted_at_ms: int
    delta: Delta


class OperationRecord(msgspec.Struct, frozen=True, kw_only=True):
    """Row ``op/{request_id}``: the result of a change.

    :param fingerprint: distinguishes a repeated change from another change
        with the same request id.
    """

    fingerprint: str
    revision: ids.Revision
    subject: str = ''


def revision_key(revision: int) -> str:
    """Return the row key of a revision; keys sort by revision."""
    return f'{REVISION_PREFIX}{revision:012d}'


def snapshot_name(revision: int) -> str:
    """Return the object name of a revision's snapshot."""
    return f'{SNAPSHOT_PREFIX}{revision:012d}'


def operation_key(request_id: ids.RequestId) -> str:
    """Return the row key of a request's result."""
    return f'{OPERATION_PREFIX}{request_id}'
