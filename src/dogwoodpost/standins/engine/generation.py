"""One request inside the engine stand-in."""

from __future__ import annotations

import asyncio
from typing import Any
from typing import TYPE_CHECKING

import xxhash

if TYPE_CHECKING:
    from collections.abc import Iterator


def token_text(prompt: bytes, index: int) -> str:
    """Return a token; it tells for which prompt and where it was made."""
    return f'{xxhash.xxh3_64_hexdigest(prompt)}.{index} '


def completion_text(prompt: bytes, token_count: int) -> str:
    """Return the whole completion of a prompt."""
    return ''.join(token_text(prompt, index) for index in range(token_count))


class Piece:
    """Tokens made in one step by one weight version."""

    def __init__(self, text: str, token_count: int, version: int) -> None:
        self.text = text
        self.token_count = token_count
        self.version = version


class Generation:
    """A request that waits, runs or has ended."""

    def __init__(
        self,
        request_id: str,
        prompt: bytes,
        hashes: tuple[int, ...],
        *,
        max_tokens: int,
        priority: int,
        first_index: int,
        arrival: int,
    ) -> None:
        self.request_id = request_id
        self.prompt = prompt
        self.hashes = hashes
        self.max_tokens = max_tokens
        self.order = (-priority, arrival)
        self.first_index = first_index
        self.credit_tokens = 0.0
        self.prefill_tokens = 0.0
        self.prompt_tokens = 0
        self.cached_tokens = 0
        self.made_count = 0
        self.segments: list[tuple[int, int]] = []
        self.finish_reason: str | None = None
        self.pieces: asyncio.Queue[Piece | None] = asyncio.Queue()

    def advance(self, tokens: float, version: int) -> None:
        """Take a share of the engine's work."""
        self.credit_tokens += tokens
        count = int(min(self.credit_tokens, self.max_tokens - self.made_count))
        if count <= 0:
            return
        self.credit_tokens -= count
        text = ''.join(self._texts(count))
        self.made_count += count
        self._count_segment(version, count)
        self.pieces.put_nowait(Piece(text, count, version))
        if self.made_count >= self.max_tokens:
            self.finish('length')

    def finish(self, reason: str) -> None:
        """End the request; its reader gets what was made."""
        if self.finish_reason is None:
            self.finish_reason = reason
            self.pieces.put_nowait(None)

    def report(self) -> dict[str, Any]:
        """Return usage and weight segments."""
        return {
            'usage': {
                'prompt_tokens': self.prompt_tokens,
                'completion_tokens': self.made_count,
                'prompt_tokens_details': {'cached_tokens': self.cached_tokens},
            },
            'weight_segments': [
                {'weight_version': version, 'token_count': count}
                for version, count in self.segments
            ],
        }

    def _texts(self, count: int) -> Iterator[str]:
        start = self.first_index + self.made_count
        for index in range(start, start + count):
            yield token_text(self.prompt, index)

    def _count_segment(self, version: int, count: int) -> None:
        if self.segments and self.segments[-1][0] == version:
            count += self.segments.pop()[1]
        self.segments.append((version, count))
