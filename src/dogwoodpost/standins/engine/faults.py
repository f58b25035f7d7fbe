"""Faults that tests inject into the engine stand-in."""

from __future__ import annotations

import msgspec


class EngineFaults(msgspec.Struct, kw_only=True):
    """Body of ``POST /control/faults``; replaces all faults.

    ``crashed`` aborts every connection and drops all requests and the cache;
    ``hang`` accepts connections and sends nothing; ``slow_factor`` divides the
    token rate. ``break_stream_count``, ``refuse_swap_count`` and
    ``drop_cache_event_count`` are the numbers of next streams, weight orders
    and cache events that fail. A broken stream ends after
    ``break_after_tokens`` tokens.
    """

    crashed: bool = False
    hang: bool = False
    slow_factor: float = 1.0
    break_stream_count: int = 0
    break_after_tokens: int = 1
    refuse_swap_count: int = 0
    drop_cache_event_count: int = 0

    def consume(self, name: str) -> bool:
        """Use up one fault of a counter; return whether it applies.

        :param name: name of the field with the counter.
        """
        remaining_count: int = getattr(self, name)
        if remaining_count <= 0:
            return False
        setattr(self, name, remaining_count - 1)
        return True
