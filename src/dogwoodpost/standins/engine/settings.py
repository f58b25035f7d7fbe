"""Settings of the engine stand-in."""

from __future__ import annotations

import msgspec


class EngineSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Settings of one stand-in engine.

    The running requests share ``token_rate_per_s``. Processing a prompt token
    that is not cached costs the fraction ``prefill_cost`` of generating a
    token. ``mean_completion_tokens`` is the mean length at which completions
    end by themselves; with None, each completion runs to its ``max_tokens``.
    ``known_secrets`` are callers' keys that must not be forwarded to the
    engine.
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
