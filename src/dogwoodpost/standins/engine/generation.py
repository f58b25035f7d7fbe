"""One completion that is being generated."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import msgspec

from dogwoodpost.core.routing import prefix_hashes
from dogwoodpost.standins.engine.token_chain import TokenChain

if TYPE_CHECKING:
    from dogwoodpost.standins.engine.completion_request import (
        CompletionRequest,
    )


class WeightSegment(msgspec.Struct):
    """Tokens in a row that one weight version produced."""

    weight_version: int
    token_count: int


class Generation:
    """Progress of one request.

    ``finish_reason`` is set at the end; ``failure`` is the code of an end
    that is no completion. ``computed_by`` holds the weight versions that
    computed the KV cache.
    """

    def __init__(self, request: CompletionRequest, max_tokens: int) -> None:
        self.request = request
        self.prompt_tokens = request.token_count
        self.hashes = prefix_hashes(request.prefix_bytes)
        self.cached_tokens = 0
        self.prefill_left = self.prompt_tokens
        self.max_tokens = max_tokens
        self.tokens: list[str] = []
        self.computed_by: set[int] = set()
        self.versions: list[int] = []
        self.finish_reason: str | None = None
        self.failure: str | None = None
        self.changed = asyncio.Event()
        self._chain = TokenChain(request.text)

    @property
    def is_over(self) -> bool:
        """Tell whether no more tokens will come."""
        return self.finish_reason is not None or self.failure is not None

    @property
    def text(self) -> str:
        """Return the text generated so far."""
        return ''.join(self.tokens)

    def match_cache(self, block_count: int, block_bytes: int) -> None:
        """Note how much of the prompt is cached.

        The last token is always computed, as its result is needed.
        """
        cached = self.request.prefix_bytes[: block_count * block_bytes]
        self.cached_tokens = min(
            len(cached.split()), max(0, self.prompt_tokens - 1)
        )
        self.prefill_left = self.prompt_tokens - self.cached_tokens

    def produce(self, weight_version: int, mean_tokens: int | None) -> None:
        """Generate one token."""
        self.tokens.append(self._chain.next_token())
        self.versions.append(weight_version)
        if mean_tokens is not None and self._chain.ends_here(mean_tokens):
            self.finish_reason = 'stop'
        elif len(self.tokens) >= self.max_tokens:
            self.finish_reason = 'length'

    def fail(self, code: str) -> None:
        """End without a completion."""
        if not self.is_over:
            self.failure = code
            self.changed.set()

    def segments(self) -> list[WeightSegment]:
        """Return the tokens by weight version, in order."""
        result: list[WeightSegment] = []
        for version in self.versions:
            if result and result[-1].weight_version == version:
                result[-1].token_count += 1
            else:
                result.append(WeightSegment(version, 1))
        return result

    def full_hashes(self) -> tuple[int, ...]:
        """Return the block hashes of the prompt and the text after it."""
        return prefix_hashes(
            self.request.prefix_bytes
            + self.request.answer_separator
            + self.text.encode()
        )
