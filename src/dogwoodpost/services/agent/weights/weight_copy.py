"""One weight version in memory, complete or still downloading."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import xxhash

from dogwoodpost.errors import PlatformError

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

CHUNK_BYTES = 1024 * 1024


class WeightCopy:
    """Bytes of a weight version that readers can stream while they arrive.

    Length and digest are set before the first byte is passed on, so that
    every agent along the chain can verify the complete copy.
    """

    def __init__(self) -> None:
        self.data = bytearray()
        self.length_bytes: int | None = None
        self.digest = ''
        self.is_complete = False
        self.error: Exception | None = None
        self._changed = asyncio.Event()

    def set_metadata(self, length_bytes: int, digest: str) -> None:
        """Set the expected length and digest.

        :raises PlatformError: an earlier source gave other values.
        """
        expected = (self.length_bytes, self.digest)
        if expected not in ((None, ''), (length_bytes, digest)):
            raise PlatformError('two sources disagree on a weight version')
        self.length_bytes = length_bytes
        self.digest = digest
        self._notify()

    def append(self, data: bytes) -> None:
        """Add received bytes."""
        self.data += data
        self._notify()

    def finish(self) -> None:
        """Verify length and digest and mark the copy as complete.

        :raises PlatformError: bytes are missing or damaged.
        """
        if len(self.data) != self.length_bytes:
            raise PlatformError('a weight version arrived in part')
        if weight_digest(self.data) != self.digest:
            # The digest does not tell which bytes are wrong, so discard all.
            self.data.clear()
            raise PlatformError('a weight version arrived damaged')
        self.is_complete = True
        self._notify()

    def fail(self, error: Exception) -> None:
        """Make waiting readers fail, because no source is left."""
        self.error = error
        self._notify()

    async def wait_for_metadata(self) -> None:
        """Wait until length and digest are known."""
        while self.length_bytes is None:
            await self._wait()

    async def read_from(self, offset: int) -> AsyncIterator[bytes]:
        """Yield the bytes from an offset on, as they arrive.

        :raises PlatformError: the download failed.
        """
        await self.wait_for_metadata()
        assert self.length_bytes is not None
        while offset < self.length_bytes:
            if offset >= len(self.data):
                await self._wait()
                continue
            chunk = bytes(self.data[offset : offset + CHUNK_BYTES])
            offset += len(chunk)
            yield chunk

    async def _wait(self) -> None:
        if self.error is not None:
            raise PlatformError(f'the source failed: {self.error}')
        self._changed.clear()
        await self._changed.wait()

    def _notify(self) -> None:
        self._changed.set()


def weight_digest(data: bytes | bytearray) -> str:
    """Return the digest by which a copy is verified."""
    return xxhash.xxh3_128_hexdigest(data)
