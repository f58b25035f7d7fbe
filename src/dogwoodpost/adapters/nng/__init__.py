"""Messages between processes of this system over pynng."""

from __future__ import annotations

from dogwoodpost.adapters.nng.transport import NngPeerTransport

__all__ = ('NngPeerTransport',)
