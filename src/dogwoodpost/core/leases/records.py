"""Rows of the table service that store a lease."""

from __future__ import annotations

import msgspec

from dogwoodpost.core import ids

LEASE_PREFIX = 'lease/'


class FenceRecord(msgspec.Struct, frozen=True, kw_only=True):
    """Row ``lease/{shard}/fence``; written only at a takeover."""

    holder: ids.ProcessId
    incarnation: ids.Incarnation
    fencing_number: ids.FencingNumber


class RenewalRecord(msgspec.Struct, frozen=True, kw_only=True):
    """Row ``lease/{shard}/renewal``; rewritten by each renewal.

    :param sequence: number of renewals since the takeover.
    :param duration_s: lease duration that the holder goes by.
    :param released: whether the holder has given the lease up. A successor
        then need not wait for the lease to expire.
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
