"""Adapters that use the partitioned row store."""

from __future__ import annotations

from dogwoodpost.adapters.rows.partition_table_store import PartitionTableStore

__all__ = ('PartitionTableStore',)
