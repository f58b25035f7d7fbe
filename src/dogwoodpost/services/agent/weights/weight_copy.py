"""One weight version in the memory of a host."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import xxhash

from dogwoodpost.errors import PlatformError

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

CHUNK_BYTES = 1024 * 1024


class WeightCopy:
    """Bytes that may still be arriving, for any number of readers.

    Length and digest are known before the first byte is passed on, so that
    the last reader can check the whole.
    """

    def __init__(self) -> None:
        self.data = bytearray()
        self.length_bytes: int | None = None
        self.digest = ''
        self.is_complete = False
        self.error: Exception | None = None
        self._changed = asyncio.Event()

    def set_metadata(self, length_bytes: int, digest: str) -> None:
        """Set what the copy will be; a later source must agree."""
        known = (self.length_bytes, self.digest)
        if known not in ((None, ''), (length_bytes, digest)):
            raise PlatformError('two sources disagree on a weight version')
        self.length_bytes = length_bytes
        self.digest = digest
        self._notify()

    def append(self, data: bytes) -> None:
        """Add received bytes."""
        self.data += data
        self._notify()

    def finish(self) -> None:
        """Check the whole.

        :raises PlatformError: bytes are missing or wrong.
        """
        if len(self.data) != self.length_bytes:
            raise PlatformError('a weight version arrived in part')
        if weight_digest(self.data) != self.digest:
            # It is not known which bytes are wrong, so none can be kept.
            self.data.clear()
            raise PlatformError('a weight version arrived damaged')
        self.is_complete = True
        self._notify()

    def fail(self, error: Exception) -> None:
        """Tell the readers that no more bytes will come."""
        self.error = error
        self._notify()

    async def wait_for_metadata(self) -> None:
        """Wait until length and digest are known."""
        while self.length_bytes is None:
            await self._wait()

    async def read_from(self, offset: int) -> AsyncIterator[bytes]:
        """Yield the bytes from an offset on, as they arrive."""
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
    """Return the digest that tells a whole copy from a damaged one."""
    return xxhash.xxh3_128_hexdigest(data)
