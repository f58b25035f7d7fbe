"""Bitmap of the claimed slots of a step, one bit per slot."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Iterator


def empty(slot_count: int) -> bytes:
    """Return a bitmap without claimed slots."""
    return bytes((slot_count + 7) // 8)


def with_slots(bitmap: bytes, slots: Iterable[int], *, claimed: bool) -> bytes:
    """Return the bitmap with the given slots claimed or released."""
    updated = bytearray(bitmap)
    for slot in slots:
        if claimed:
            updated[slot // 8] |= 1 << slot % 8
        else:
            updated[slot // 8] &= ~(1 << slot % 8)
    return bytes(updated)


def claimed_slots(bitmap: bytes) -> Iterator[int]:
    """Yield the numbers of the claimed slots."""
    for byte_index, byte in enumerate(bitmap):
        for bit in range(8):
            if byte & 1 << bit:
                yield byte_index * 8 + bit
