"""What the use of a connection tells about it."""

from __future__ import annotations

from dogwoodpost.core.connections.connection_use import CallSilence
from dogwoodpost.core.connections.connection_use import ConnectionUse
from dogwoodpost.core.connections.connection_use import trusted_idle_s

__all__ = ('CallSilence', 'ConnectionUse', 'trusted_idle_s')
