"""Rows of the table service that hold a lease."""

from __future__ import annotations

import msgspec

from dogwoodpost.core import ids

LEASE_PREFIX = 'lease/'


class FenceRecord(msgspec.Struct, frozen=True, kw_only=True):
    """Row ``lease/{shard}/fence``; changes only at a takeover."""

    holder: ids.ProcessId
    incarnation: ids.Incarnation
    fencing_number: ids.FencingNumber


class RenewalRecord(msgspec.Struct, frozen=True, kw_only=True):
    """Row ``lease/{shard}/renewal``; rewritten by each renewal.

    ``released`` means that the holder has stopped acting, so a successor
    need not wait.
    """

    fencing_number: ids.FencingNumber
    sequence: int
    duration_s: float
    released: bool = False


def fence_key(shard: ids.ShardName) -> str:
    """Return the key of a lease's fence row."""
    return f'{LEASE_PREFIX}{shard}/fence'


def renewal_key(shard: ids.ShardName) -> str:
    """Return the key of a lease's renewal row."""
    return f'{LEASE_PREFIX}{shard}/renewal'
