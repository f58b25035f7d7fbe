"""Usage billing: totals, billing windows and frozen figures."""

from __future__ import annotations

from dogwoodpost.core.usage.figures import merge
from dogwoodpost.core.usage.ledger import decode_open_windows
from dogwoodpost.core.usage.ledger import UsageFlush
from dogwoodpost.core.usage.ledger import UsageLedger
from dogwoodpost.core.usage.rows import decode_part
from dogwoodpost.core.usage.rows import encode_part
from dogwoodpost.core.usage.rows import frozen_key
from dogwoodpost.core.usage.rows import OPEN_WINDOWS_KEY
from dogwoodpost.core.usage.rows import OpenWindows
from dogwoodpost.core.usage.rows import part_prefix
from dogwoodpost.core.usage.rows import REPORTED_WINDOWS_KEY
from dogwoodpost.core.usage.rows import ReportedWindows
from dogwoodpost.core.usage.rows import UsagePart
from dogwoodpost.core.usage.windows import first_window_to_keep_open
from dogwoodpost.core.usage.windows import window_at
from dogwoodpost.core.usage.windows import window_end_s

__all__ = (
    'OPEN_WINDOWS_KEY',
    'REPORTED_WINDOWS_KEY',
    'OpenWindows',
    'ReportedWindows',
    'UsageFlush',
    'UsageLedger',
    'UsagePart',
    'decode_open_windows',
    'decode_part',
    'encode_part',
    'first_window_to_keep_open',
    'frozen_key',
    'merge',
    'part_prefix',
    'window_at',
    'window_end_s',
)
