"""Live, leaving and silent processes."""

from __future__ import annotations

from dogwoodpost.core.membership.entry_member import decode_entry_member
from dogwoodpost.core.membership.entry_member import encode_entry_member
from dogwoodpost.core.membership.entry_member import ENTRY_ROW_PREFIX
from dogwoodpost.core.membership.entry_member import entry_row_key
from dogwoodpost.core.membership.entry_member import EntryMember
from dogwoodpost.core.membership.identity import ProcessIdentity
from dogwoodpost.core.membership.peer_link import GONE_S
from dogwoodpost.core.membership.peer_link import HEARTBEAT_PERIOD_S
from dogwoodpost.core.membership.peer_link import PeerLink
from dogwoodpost.core.membership.peer_link import SILENCE_S

__all__ = (
    'ENTRY_ROW_PREFIX',
    'GONE_S',
    'HEARTBEAT_PERIOD_S',
    'SILENCE_S',
    'EntryMember',
    'PeerLink',
    'ProcessIdentity',
    'decode_entry_member',
    'encode_entry_member',
    'entry_row_key',
)
