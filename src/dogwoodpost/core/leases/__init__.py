"""Leases on shards, with fencing numbers."""

from __future__ import annotations

from dogwoodpost.core.leases.lease import Lease
from dogwoodpost.core.leases.lease import LeaseAction
from dogwoodpost.core.leases.lease import LeaseOperation
from dogwoodpost.core.leases.ranking import lease_rank
from dogwoodpost.core.leases.records import fence_key
from dogwoodpost.core.leases.records import FenceRecord
from dogwoodpost.core.leases.records import renewal_key
from dogwoodpost.core.leases.records import RenewalRecord
from dogwoodpost.core.leases.terms import LeaseTerms

__all__ = (
    'FenceRecord',
    'Lease',
    'LeaseAction',
    'LeaseOperation',
    'LeaseTerms',
    'RenewalRecord',
    'fence_key',
    'lease_rank',
    'renewal_key',
)
