"""Claims of a step's slots, as one bit per slot."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Iterator


def empty(slot_count: int) -> bytes:
    """Return bits without any claim."""
    return bytes((slot_count + 7) // 8)


def with_slots(bits: bytes, slots: Iterable[int], *, claimed: bool) -> bytes:
    """Return the bits with the given slots claimed or released."""
    changed = bytearray(bits)
    for slot in slots:
        if claimed:
            changed[slot // 8] |= 1 << slot % 8
        else:
            changed[slot // 8] &= ~(1 << slot % 8)
    return bytes(changed)


def claimed_slots(bits: bytes) -> Iterator[int]:
    """Yield the numbers of the claimed slots."""
    for place, byte in enumerate(bits):
        for bit in range(8):
            if byte & 1 << bit:
                yield place * 8 + bit
