"""Checks of a JSON document's form, with line and column of each fault."""

from __future__ import annotations

import json
import re
from typing import Any
from typing import NoReturn
from typing import TYPE_CHECKING

from dogwoodpost.errors import DocumentError

if TYPE_CHECKING:
    from collections.abc import Iterator

# 100,000 routes with all their fields take about 50 MB.
MAX_DOCUMENT_BYTES = 64 * 1024 * 1024
# 100,000 routes with all their fields have 2,500,000 values. The parser needs
# up to 100 bytes for a value and for an array.
MAX_COMMAS = 4_000_000
MAX_ARRAYS = 2_000_000
# The formats nest less than 10 levels deep. An error points at the first level
# beyond this one. The parser itself stops at a greater depth, which is about
# 1,000 levels and differs between interpreters.
MAX_DEPTH = 32

# Possessive quantifiers keep the scan linear for strings and comments that
# never end.
_STRING = r'"(?:[^"\\]++|\\[\s\S])*+"?'
_COMMENT = r'//[^\n]*+|/\*(?:[^*]++|\*(?!/))*+(?:\*/)?'
_STRING_OR_COMMENT = re.compile(f'{_STRING}|{_COMMENT}')
_BRACKET = re.compile(rf'{_STRING}|{_COMMENT}|[\[\]{{}}]')
_TOKEN = re.compile(rf'{_STRING}|[\[\]{{}},:]|[^\s\[\]{{}},:"]++')
_NOT_LINE_FEED = re.compile(r'[^\n]')
_BYTE = re.compile(r'\(byte (\d+)\)')
_PATH = re.compile(r'- at `\$([^`]*)`$')
_PATH_PART = re.compile(r'\.([^.\[]+)|\[(\d+|\.\.\.)\]')


class JsonDocument:
    """The text of a document of acceptable form.

    :param data: UTF-8 bytes.
    :param allow_comments: whether ``//`` and ``/* */`` comments are blanked.

    :raises DocumentError: the document is too large, not UTF-8, not JSON,
        nested too deeply, or repeats a key.
    """

    def __init__(self, data: bytes, *, allow_comments: bool) -> None:
        if len(data) > MAX_DOCUMENT_BYTES:
            raise DocumentError(
                'a document that is too large',
                f'at most {MAX_DOCUMENT_BYTES} bytes',
            )
        try:
            self._text = data.decode()
        except UnicodeDecodeError as error:
            valid = data[: error.start].decode()
            raise DocumentError(
                f'bytes that are not UTF-8: {error.reason}',
                'a document in UTF-8',
                *_line_and_column(valid, len(valid)),
            ) from None
        if (
            self._text.count(',') > MAX_COMMAS
            or self._text.count('[') > MAX_ARRAYS
        ):
            raise DocumentError(
                'a document with too many values',
                f'at most {MAX_COMMAS} commas and {MAX_ARRAYS} arrays',
            )
        has_comments = '//' in self._text or '/*' in self._text
        if allow_comments and has_comments:
            self._text = _STRING_OR_COMMENT.sub(_blank, self._text)
        self._check_syntax()

    @property
    def data(self) -> bytes:
        """Return the bytes without comments."""
        return self._text.encode()

    def fail(
        self, message: str, path: tuple[str, ...] | None = None
    ) -> NoReturn:
        """Raise the error of a document that could not be decoded.

        :param message: error of the decoder, with a byte or a path.
        :param path: keys of the faulty value, if the caller knows more than
            the message states.

        :raises DocumentError: always.
        """
        offset = 0
        at_byte = _BYTE.search(message)
        at_path = _PATH.search(message)
        if at_byte is not None:
            offset = len(self.data[: int(at_byte[1])].decode(errors='ignore'))
        elif path is not None:
            offset = self._offset(path)
        elif at_path is not None:
            offset = self._offset(path_of(message))
        raise DocumentError(
            message,
            'a value of the format',
            *_line_and_column(self._text, offset),
        )

    def _deep_offset(self) -> int:
        depth = 0
        for match in _BRACKET.finditer(self._text):
            if match[0] in {'[', '{'}:
                depth += 1
            elif match[0] in {']', '}'}:
                depth -= 1
            if depth > MAX_DEPTH:
                return match.start()
        return 0

    def _check_syntax(self) -> None:
        # The hooks keep no values, so the parse takes little memory.
        try:
            json.loads(
                self._text,
                object_pairs_hook=_check_keys,
                parse_int=str,
            )
        except json.JSONDecodeError as error:
            self._fail_at(error.pos, error.msg, 'JSON')
        except RecursionError:
            self._fail_at(
                self._deep_offset(),
                'nested too deeply',
                f'at most {MAX_DEPTH} levels',
            )
        except KeyError:
            offset = next(
                offset
                for offset, _, is_repeated in self._members()
                if is_repeated
            )
            self._fail_at(offset, 'a duplicate key', 'each key once')

    def _fail_at(self, offset: int, found: str, expected: str) -> NoReturn:
        line_and_column = _line_and_column(self._text, offset)
        raise DocumentError(found, expected, *line_and_column)

    def _offset(self, path: tuple[str, ...]) -> int:
        """Return the offset of a path, or of its innermost known part."""
        best_offset, best_length = 0, 0
        for offset, keys, _ in self._members():
            length = len(keys)
            if not best_length < length <= len(path):
                continue
            # Most members differ in their own key; this saves the rest.
            if path[length - 1] not in {'...', str(keys[-1])}:
                continue
            if all(
                part in {'...', str(key)}
                for part, key in zip(path, keys, strict=False)
            ):
                best_offset, best_length = offset, length
                if length == len(path):
                    break
        return best_offset

    def _members(self) -> Iterator[tuple[int, list[str | int], bool]]:
        """Yield the offset of each member of an object or array.

        The second value is the path of the member, in a list that changes;
        the third one tells whether its key occurred before.
        """
        path: list[str | int] = []
        seen: list[set[str] | None] = []
        is_start = False
        for match in _TOKEN.finditer(self._text):
            token = match[0]
            if is_start and token not in {']', '}'}:
                is_start = False
                keys = seen[-1]
                if keys is None:
                    path[-1] = int(path[-1]) + 1
                    yield match.start(), path, False
                else:
                    # Most keys have no escapes, and a parse of each is slow.
                    key = json.loads(token) if '\\' in token else token[1:-1]
                    is_repeated = key in keys
                    keys.add(key)
                    path[-1] = key
                    yield match.start(), path, is_repeated
            if token in {'[', '{'}:
                seen.append(set() if token == '{' else None)
                path.append(-1)
                is_start = True
            elif token in {']', '}'}:
                seen.pop()
                path.pop()
                is_start = False
            elif token == ',':
                is_start = True


def path_of(message: str) -> tuple[str, ...]:
    """Return the path at the end of a decoder's message."""
    match = _PATH.search(message)
    parts = _PATH_PART.findall(match[1]) if match is not None else []
    return tuple(name or index for name, index in parts)


def _check_keys(pairs: list[tuple[str, Any]]) -> None:
    """Check that an object has no key twice.

    :raises KeyError: it has.
    """
    if len(dict(pairs)) < len(pairs):
        raise KeyError


def _blank(match: re.Match[str]) -> str:
    """Return a string as it is, and spaces for a comment."""
    text = match[0]
    return text if text[0] == '"' else _NOT_LINE_FEED.sub(' ', text)


def _line_and_column(text: str, offset: int) -> tuple[int, int]:
    line = text.count('\n', 0, offset) + 1
    return line, offset - text.rfind('\n', 0, offset)
