"""Descriptions of failed calls."""

from __future__ import annotations

import aiohttp
import pytest
from aiohttp.http_exceptions import BadStatusLine

from dogwoodpost.adapters.http.call_errors import call_failure
from dogwoodpost.adapters.http.response_body import ResponseTooLargeError
from dogwoodpost.adapters.http.send_once import ConnectionLostError

QUOTED = 'bytes of the peer'


@pytest.mark.parametrize(
    'error',
    [
        aiohttp.ServerDisconnectedError(QUOTED),
        aiohttp.ClientPayloadError(QUOTED),
        aiohttp.ClientOSError(104, QUOTED),
        aiohttp.ClientResponseError(None, (), message=QUOTED),
        aiohttp.InvalidURL(QUOTED),
        BadStatusLine(QUOTED),
        ConnectionResetError(QUOTED),
        ValueError(QUOTED),
    ],
)
def test_description_quotes_nothing(error: Exception) -> None:
    """Guards against errors that pass on what a peer sent."""
    assert QUOTED not in call_failure(error)
    assert type(error).__name__ in call_failure(error)


def test_own_errors_keep_their_reason() -> None:
    """Guards against logs that don't tell why a call failed."""
    too_large = ResponseTooLargeError('too many bytes')
    assert 'too many bytes' in call_failure(too_large)
    lost = ConnectionLostError(call_failure(OSError(104, 'reset')))
    assert 'Connection reset by peer' in call_failure(lost)
