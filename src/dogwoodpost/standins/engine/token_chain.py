"""Deterministic completions that depend only on the preceding text."""

from __future__ import annotations

import xxhash


class TokenChain:
    """Generates the tokens that follow a text.

    Each token is a hash of all preceding tokens, so a completion that is
    resumed from its partial text yields the same full text.
    """

    def __init__(self, text: str) -> None:
        self._state = 0
        for token in text.split():
            self._hash_token(token)

    def next_token(self) -> str:
        """Return the next token, preceded by a space."""
        token = f'{self._state & 0xFFFFFFFF:08x}'
        self._hash_token(token)
        return f' {token}'

    def is_natural_end(self, mean_tokens: int) -> bool:
        """Return whether the text ends naturally after the last token.

        :param mean_tokens: mean number of tokens until a natural end.
        """
        return (self._state >> 32) % mean_tokens == 0

    def _hash_token(self, token: str) -> None:
        self._state = xxhash.xxh3_64_intdigest(token, seed=self._state)


def completion_text(prompt: str, token_count: int) -> str:
    """Return the completion that every engine generates for a prompt."""
    chain = TokenChain(prompt)
    return ''.join(chain.next_token() for _ in range(token_count))
