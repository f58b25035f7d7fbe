"""Form of documents that operators write."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from dogwoodpost.core.configuration.checks import MAX_DOCUMENT_BYTES
from dogwoodpost.core.configuration.checks import read_configuration
from dogwoodpost.errors import DocumentError

ACCOUNT = b'{"client_accounts": {"b": {"client_account_id": "b",\n'


@pytest.mark.parametrize(
    ('data', 'line', 'column'),
    [
        (b'', 1, 1),
        (b'{\n "routes" 1}', 2, 11),
        (b'{"revision": NaN}', 1, 14),
        (b'{"a": "\xc3\xa4",\n "b": \xff}', 2, 7),
        (b'{"x": {},\n /* a\n */ "x": 1}', 3, 5),
        (b'{"a": [{"b": 1, "\\u0062": 2}]}', 1, 17),
        (b'{"routes":\n' + b'[' * 100_000, 2, 32),
        (b'["' + b'\\"' * 100_000, 1, 2),
        (b'/* ' * 100_000, 1, 300_001),
        (ACCOUNT + b'// on\n "enabled": 3}}}', 3, 2),
        (b' ' * (MAX_DOCUMENT_BYTES + 1), 1, 1),
        (b'[' + b'[],' * 2_000_000 + b'1]', 1, 1),
        (b'[]', 1, 1),
    ],
)
def test_place_of_a_fault(data: bytes, line: int, column: int) -> None:
    """Guards against a traceback, or a fault without a usable place."""
    with pytest.raises(DocumentError) as caught:
        read_configuration(data)
    assert (caught.value.line, caught.value.column) == (line, column)


@given(st.binary() | st.text(alphabet='{}[]",:/*\\\n ab1').map(str.encode))
def test_any_bytes(data: bytes) -> None:
    """Guards against an error of another kind, which ends in a traceback."""
    try:
        read_configuration(data)
    except DocumentError as error:
        assert error.line >= 1
        assert error.column >= 1
