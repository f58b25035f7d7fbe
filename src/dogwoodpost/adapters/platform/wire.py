"""JSON bodies of the platform's table service and host list.

``msgspec`` writes ``bytes`` fields as base64 text.
"""

from __future__ import annotations

import msgspec

from dogwoodpost.core import ids
from dogwoodpost.ports.host_list import ListedHost
from dogwoodpost.ports.table_store import Check
from dogwoodpost.ports.table_store import Row
from dogwoodpost.ports.table_store import Write


class ReadRequest(msgspec.Struct, frozen=True):
    """Body of ``POST /read``."""

    keys: tuple[str, ...]


class ScanRequest(msgspec.Struct, frozen=True):
    """Body of ``POST /scan``."""

    prefix: str
    after: str
    limit: int


class RowsResponse(msgspec.Struct, frozen=True):
    """Response to a read or a scan."""

    rows: list[Row]


class CommitRequest(msgspec.Struct, frozen=True):
    """Body of ``POST /commit``."""

    operation_id: ids.OperationId
    checks: tuple[Check, ...]
    writes: tuple[Write, ...]


class CommitResponse(msgspec.Struct, frozen=True):
    """Response to an applied commit, with the new versions by key."""

    versions: dict[str, int]


class ConflictResponse(msgspec.Struct, frozen=True):
    """Response with status 409: the keys whose checks failed."""

    conflicts: tuple[str, ...]


class HostsResponse(msgspec.Struct, frozen=True):
    """Response to ``GET /hosts``."""

    hosts: list[ListedHost]
