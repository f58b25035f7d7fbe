"""Problems found in input, with the place of each."""

from __future__ import annotations

import msgspec


class Finding(msgspec.Struct, frozen=True):
    """One problem in some input.

    :param place: a file with a line, or a path into a document.
    :param found: the value or condition that was found.
    :param expected: what is valid there.
    """

    place: str
    found: str
    expected: str

    def __str__(self) -> str:
        return f'{self.place}: found {self.found}; expected {self.expected}'
