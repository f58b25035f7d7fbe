"""Settings and faults of the engine stand-in."""

from __future__ import annotations

import msgspec


class EngineSettings(msgspec.Struct, frozen=True, kw_only=True):
    """How fast an engine is and what it can hold.

    ``token_rate_per_s`` is shared by the running requests.
    """

    engine_id: str = 'engine-1'
    model: str = 'model'
    token_rate_per_s: float = 2_000.0
    prefill_rate_per_s: float = 50_000.0
    tick_s: float = 0.005
    max_running_count: int = 16
    cache_block_count: int = 1_024
    weight_version: int = 1
    max_loaded_versions: int = 2
    swap_s: float = 0.02
    checks_fencing: bool = False
    load_age_ms: int = 0


class EngineFaults(msgspec.Struct, kw_only=True):
    """Faults on request; may be changed at any time.

    ``break_stream_after`` closes each connection after so many tokens,
    ``cut_stream_after`` ends each stream cleanly but without its end mark.
    """

    crashed: bool = False
    hanging: bool = False
    slow_factor: float = 1.0
    break_stream_after: int | None = None
    cut_stream_after: int | None = None
    refuse_swap: bool = False
    drop_events: bool = False
