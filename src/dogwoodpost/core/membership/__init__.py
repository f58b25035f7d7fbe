"""Live, leaving and silent processes."""

from __future__ import annotations

from dogwoodpost.core.membership.fencing_numbers import FencingNumbers
from dogwoodpost.core.membership.identity import ProcessIdentity
from dogwoodpost.core.membership.peer_link import GONE_S
from dogwoodpost.core.membership.peer_link import HEARTBEAT_PERIOD_S
from dogwoodpost.core.membership.peer_link import HeartbeatResult
from dogwoodpost.core.membership.peer_link import PeerLink
from dogwoodpost.core.membership.peer_link import SILENCE_S

__all__ = (
    'GONE_S',
    'HEARTBEAT_PERIOD_S',
    'SILENCE_S',
    'FencingNumbers',
    'HeartbeatResult',
    'PeerLink',
    'ProcessIdentity',
)
