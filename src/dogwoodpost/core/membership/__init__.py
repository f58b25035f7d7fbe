"""Liveness of processes and registration of endpoints."""

from __future__ import annotations

from dogwoodpost.core.membership.fencing_numbers import FencingNumbers
from dogwoodpost.core.membership.identity import ProcessIdentity
from dogwoodpost.core.membership.peer_liveness import GONE_TIMEOUT_S
from dogwoodpost.core.membership.peer_liveness import HEARTBEAT_PERIOD_S
from dogwoodpost.core.membership.peer_liveness import HeartbeatResult
from dogwoodpost.core.membership.peer_liveness import PeerLiveness
from dogwoodpost.core.membership.peer_liveness import SILENCE_TIMEOUT_S

__all__ = (
    'GONE_TIMEOUT_S',
    'HEARTBEAT_PERIOD_S',
    'SILENCE_TIMEOUT_S',
    'FencingNumbers',
    'HeartbeatResult',
    'PeerLiveness',
    'ProcessIdentity',
)
