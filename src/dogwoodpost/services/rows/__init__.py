"""Reading and writing the partitioned row store."""

from __future__ import annotations

from dogwoodpost.services.rows.resolved_rows import commit_rows
from dogwoodpost.services.rows.table_follower import RowSink
from dogwoodpost.services.rows.table_follower import TableFollower

__all__ = ('RowSink', 'TableFollower', 'commit_rows')
