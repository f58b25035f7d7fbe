"""KV caches of requests, kept for export to another engine."""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from dogwoodpost.standins.engine.generation import Generation


class KvExport(msgspec.Struct, frozen=True, kw_only=True):
    """Body of ``GET`` and ``PUT /control/kv/{request_id}``.

    ``weight_version`` is the version that computed the blocks; ``hashes``
    are the block hashes; ``text`` is the text generated so far.
    """

    request_id: str
    weight_version: int
    hashes: tuple[int, ...]
    text: str


class KvStore:
    """Keeps the KV caches of the most recently finished requests."""

    def __init__(self, max_count: int) -> None:
        self._max_count = max_count
        self._exports: OrderedDict[str, KvExport] = OrderedDict()

    def add(self, export: KvExport) -> None:
        """Add a KV cache and evict the oldest ones beyond the limit."""
        self._exports[export.request_id] = export
        self._exports.move_to_end(export.request_id)
        while len(self._exports) > self._max_count:
            self._exports.popitem(last=False)

    def get(self, request_id: str) -> KvExport | None:
        """Return the KV cache of a finished request, if it is kept."""
        return self._exports.get(request_id)

    def clear(self) -> None:
        """Drop all KV caches."""
        self._exports.clear()


def make_kv_export(generation: Generation, weight_version: int) -> KvExport:
    """Return the KV cache that a request has computed so far.

    The export has no blocks if the prompt is not processed yet or if other
    weight versions computed part of them.
    """
    hashes: tuple[int, ...] = ()
    is_prefilled = generation.remaining_prefill_tokens <= 0
    if is_prefilled and generation.computing_versions == {weight_version}:
        hashes = generation.sequence_hashes()
    return KvExport(
        request_id=generation.request.request_id,
        weight_version=weight_version,
        hashes=hashes,
        text=generation.text,
    )
