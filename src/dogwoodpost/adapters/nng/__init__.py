"""Messages between own processes over pynng."""

from __future__ import annotations

from dogwoodpost.adapters.nng.peer_transport import NngPeerTransport

__all__ = ('NngPeerTransport',)
