"""Settings of the engine stand-in."""

from __future__ import annotations

import msgspec


class EngineSettings(msgspec.Struct, frozen=True, kw_only=True):
    """How one stand-in engine behaves.

    ``token_rate_per_s`` is shared by the running requests. Reading a prompt
    token that is not cached costs ``prefill_cost`` of a generated token.
    ``mean_completion_tokens`` is the mean natural length; None runs each
    completion to its ``max_tokens``. ``known_secrets`` are callers' keys that
    must never arrive here.
    """

    model: str = 'slate-lm'
    weight_version: int = 1
    role: str = 'both'
    token_rate_per_s: float = 2_000.0
    prefill_cost: float = 0.02
    tick_s: float = 0.005
    max_running_count: int = 16
    default_max_tokens: int = 256
    mean_completion_tokens: int | None = None
    cache_block_count: int = 1_024
    max_cache_event_count: int = 4_096
    retained_kv_count: int = 64
    keep_alive_s: float = 3.0
    load_s: float = 0.0
    check_fencing: bool = True
    known_secrets: tuple[str, ...] = ()
