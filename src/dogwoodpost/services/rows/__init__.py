"""Reading and writing the partitioned row store."""

from __future__ import annotations

from dogwoodpost.services.rows.row_commit import commit_rows
from dogwoodpost.services.rows.row_records import decode_record
from dogwoodpost.services.rows.row_records import encode_record
from dogwoodpost.services.rows.table_follower import RowSink
from dogwoodpost.services.rows.table_follower import TableFollower
from dogwoodpost.services.rows.transaction_size import TransactionSize

__all__ = (
    'RowSink',
    'TableFollower',
    'TransactionSize',
    'commit_rows',
    'decode_record',
    'encode_record',
)
