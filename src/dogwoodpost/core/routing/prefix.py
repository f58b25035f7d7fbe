"""Hashes of prompt prefixes."""

from __future__ import annotations

import xxhash

BLOCK_BYTES = 256
# Only the first 64 KiB of a prompt are hashed: hashing more takes time and
# doesn't change the choice of the endpoint.
MAX_BLOCK_COUNT = 256
TYPICAL_BYTES_PER_TOKEN = 4
BLOCK_TOKENS = BLOCK_BYTES // TYPICAL_BYTES_PER_TOKEN


def prefix_hashes(prompt: bytes) -> tuple[int, ...]:
    """Return one hash per full block, each covering all bytes before it.

    Engines identify their cached blocks in cache events by the same hashes.
    """
    hashes = []
    previous = 0
    block_count = min(len(prompt) // BLOCK_BYTES, MAX_BLOCK_COUNT)
    for index in range(block_count):
        block = prompt[index * BLOCK_BYTES : (index + 1) * BLOCK_BYTES]
        previous = xxhash.xxh3_64_intdigest(block, seed=previous)
        hashes.append(previous)
    return tuple(hashes)
