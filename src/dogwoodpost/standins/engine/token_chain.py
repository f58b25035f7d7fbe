"""Completion text as a function of the text before it."""

from __future__ import annotations

import xxhash


class TokenChain:
    """Yields the tokens that follow a text.

    Each token depends on all tokens before it, so a completion that is
    resumed from its partial text ends in the same whole text.
    """

    def __init__(self, text: str) -> None:
        self._state = 0
        for token in text.split():
            self._fold(token)

    def next_token(self) -> str:
        """Return the next token with the space before it."""
        token = f'{self._state & 0xFFFFFFFF:08x}'
        self._fold(token)
        return f' {token}'

    def ends_here(self, mean_tokens: int) -> bool:
        """Return whether the text ends naturally after the last token."""
        return (self._state >> 32) % mean_tokens == 0

    def _fold(self, token: str) -> None:
        self._state = xxhash.xxh3_64_intdigest(token, seed=self._state)


def completion_text(prompt: str, token_count: int) -> str:
    """Return what every engine answers to a prompt."""
    chain = TokenChain(prompt)
    return ''.join(chain.next_token() for _ in range(token_count))
