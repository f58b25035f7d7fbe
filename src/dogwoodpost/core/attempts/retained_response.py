"""Output of an attempt, kept until its entry has all of it."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from dogwoodpost.core import messages

# Size of the chunks that one fetch returns; the entry fetches the rest.
FETCH_LIMIT_BYTES = 1024 * 1024


class RetainedResponse:
    """Head, chunks and end mark in the order in which they were sent."""

    def __init__(self) -> None:
        self.head: messages.ResponseHead | None = None
        self.end: messages.ResponseEnd | None = None
        self.size_bytes = 0
        self._first_index = 0
        self._chunks: list[messages.ResponseChunk] = []

    @property
    def chunk_count(self) -> int:
        """Return the number of chunks recorded so far."""
        return self._first_index + len(self._chunks)

    def add_chunk(self, chunk: messages.ResponseChunk) -> None:
        """Keep the next chunk."""
        self._chunks.append(chunk)
        self.size_bytes += len(chunk.data)

    def drop_chunks(self) -> int:
        """Forget all chunks so far; return their size in bytes."""
        dropped_bytes = self.size_bytes
        self._first_index += len(self._chunks)
        self._chunks.clear()
        self.size_bytes = 0
        return dropped_bytes

    def has_from(self, index: int) -> bool:
        """Return whether all chunks from an index on are kept."""
        return index >= self._first_index

    def output_from(
        self, index: int
    ) -> list[
        messages.ResponseHead | messages.ResponseChunk | messages.ResponseEnd
    ]:
        """Return the head, chunks from an index on, and the end mark."""
        output: list[
            messages.ResponseHead
            | messages.ResponseChunk
            | messages.ResponseEnd
        ] = []
        if self.head is not None:
            output.append(self.head)
        size_bytes = 0
        for chunk in self._chunks[max(index - self._first_index, 0) :]:
            size_bytes += len(chunk.data)
            if size_bytes > FETCH_LIMIT_BYTES and chunk.index > index:
                break
            output.append(chunk)
        if self.end is not None:
            output.append(self.end)
        return output
