"""Findings about input, collected with their place."""

from __future__ import annotations

import msgspec


class Finding(msgspec.Struct, frozen=True):
    """One problem in some input.

    ``place`` is a file with a line, or a path into a document.
    """

    place: str
    found: str
    expected: str

    def __str__(self) -> str:
        return f'{self.place}: found {self.found}; expected {self.expected}'
