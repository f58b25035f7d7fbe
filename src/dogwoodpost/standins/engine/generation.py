"""Progress of a completion that is being generated."""

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
    """Consecutive tokens that one weight version generated."""

    weight_version: int
    token_count: int


class Generation:
    """Progress of one request.

    ``finish_reason`` is set when the completion is finished; ``failure`` is
    the error code if it ends otherwise. ``computing_versions`` holds the
    weight versions that computed the KV cache, ``versions`` the weight
    version of each generated token.
    """

    def __init__(self, request: CompletionRequest, max_tokens: int) -> None:
        self.request = request
        self.prompt_tokens = request.token_count
        self.hashes = prefix_hashes(request.prefix_bytes)
        self.cached_tokens = 0
        self.remaining_prefill_tokens = self.prompt_tokens
        self.max_tokens = max_tokens
        self.tokens: list[str] = []
        self.computing_versions: set[int] = set()
        self.versions: list[int] = []
        self.finish_reason: str | None = None
        self.failure: str | None = None
        self.changed = asyncio.Event()
        self._chain = TokenChain(request.text)

    @property
    def is_finished(self) -> bool:
        """Return whether no more tokens will be generated."""
        return self.finish_reason is not None or self.failure is not None

    @property
    def text(self) -> str:
        """Return the text generated so far."""
        return ''.join(self.tokens)

    def apply_cached_blocks(self, block_count: int, block_bytes: int) -> None:
        """Set how many prompt tokens are cached.

        The last prompt token is always computed, since the first generated
        token depends on its result.
        """
        cached = self.request.prefix_bytes[: block_count * block_bytes]
        self.cached_tokens = min(
            len(cached.split()), max(0, self.prompt_tokens - 1)
        )
        self.remaining_prefill_tokens = self.prompt_tokens - self.cached_tokens

    def generate_token(
        self, weight_version: int, mean_tokens: int | None
    ) -> None:
        """Generate one token and finish if it is the last.

        :param mean_tokens: mean length of completions, or None to generate
            up to ``max_tokens``.
        """
        self.tokens.append(self._chain.next_token())
        self.versions.append(weight_version)
        if mean_tokens is not None and self._chain.is_natural_end(mean_tokens):
            self.finish_reason = 'stop'
        elif len(self.tokens) >= self.max_tokens:
            self.finish_reason = 'length'

    def fail(self, code: str) -> None:
        """End the request with an error code unless it is finished."""
        if not self.is_finished:
            self.failure = code
            self.changed.set()

    def segments(self) -> list[WeightSegment]:
        """Return consecutive tokens grouped by weight version."""
        result: list[WeightSegment] = []
        for version in self.versions:
            if result and result[-1].weight_version == version:
                result[-1].token_count += 1
            else:
                result.append(WeightSegment(version, 1))
        return result

    def sequence_hashes(self) -> tuple[int, ...]:
        """Return the block hashes of the prompt and the generated text."""
        return prefix_hashes(
            self.request.prefix_bytes
            + self.request.completion_separator
            + self.text.encode()
        )
