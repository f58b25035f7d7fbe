"""KV caches of requests, for export to another engine."""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from dogwoodpost.standins.engine.generation import Generation


class KvExport(msgspec.Struct, frozen=True, kw_only=True):
    """Body of ``GET`` and ``PUT /control/kv/{request_id}``.

    ``weight_version`` is the one that computed the blocks; ``text`` is the
    partial completion.
    """

    request_id: str
    weight_version: int
    hashes: tuple[int, ...]
    text: str


class KvStore:
    """Keeps the caches of the latest requests that are over."""

    def __init__(self, max_count: int) -> None:
        self._max_count = max_count
        self._exports: OrderedDict[str, KvExport] = OrderedDict()

    def keep(self, export: KvExport) -> None:
        """Keep a cache, in place of the oldest if there is no room."""
        self._exports[export.request_id] = export
        self._exports.move_to_end(export.request_id)
        while len(self._exports) > self._max_count:
            self._exports.popitem(last=False)

    def get(self, request_id: str) -> KvExport | None:
        """Return the cache of a request that is over."""
        return self._exports.get(request_id)

    def clear(self) -> None:
        """Drop all caches."""
        self._exports.clear()


def export_of(generation: Generation, weight_version: int) -> KvExport:
    """Return the cache of a request as far as it has run.

    It has no blocks if other weights computed a part of them.
    """
    hashes: tuple[int, ...] = ()
    is_read = generation.prefill_left <= 0
    if is_read and generation.computed_by == {weight_version}:
        hashes = generation.full_hashes()
    return KvExport(
        request_id=generation.request.request_id,
        weight_version=weight_version,
        hashes=hashes,
        text=generation.text,
    )
