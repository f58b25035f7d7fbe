"""Faults on request."""

from __future__ import annotations

import msgspec


class EngineFaults(msgspec.Struct, kw_only=True):
    """Body of ``POST /control/faults``; sets all faults at once.

    ``crashed`` aborts every connection and loses all requests and the cache;
    ``hang`` accepts connections and sends nothing. The counts apply to the
    next streams, weight orders and cache events. A broken stream ends after
    ``break_after_tokens`` tokens.
    """

    crashed: bool = False
    hang: bool = False
    slow_factor: float = 1.0
    break_stream_count: int = 0
    break_after_tokens: int = 1
    refuse_swap_count: int = 0
    drop_cache_event_count: int = 0

    def take(self, name: str) -> bool:
        """Use up one of the counted faults; return whether it applies."""
        left: int = getattr(self, name)
        if left <= 0:
            return False
        setattr(self, name, left - 1)
        return True
