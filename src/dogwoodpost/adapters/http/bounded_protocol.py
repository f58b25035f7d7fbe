"""Client protocol that limits interim responses."""

from __future__ import annotations

from typing import TYPE_CHECKING

from aiohttp.client_proto import ResponseHandler
from aiohttp.http_exceptions import HttpProcessingError

if TYPE_CHECKING:
    from aiohttp import StreamReader
    from aiohttp.http_parser import RawResponseMessage

# Interim (1xx) responses that may precede one final response.
MAX_INTERIM_COUNT = 16
# The parser processes all the data of one call; with short chunks, the limit
# takes effect before a whole read has been parsed.
_PARSE_CHUNK_BYTES = 16 * 1024
_STATUS_BAD_GATEWAY = 502


class BoundedResponseHandler(ResponseHandler):
    """Aborts connections that send too many interim responses.

    An endless sequence of them would keep the event loop busy until the call
    times out, and delay all other calls.
    """

    _interim_count = 0

    def data_received(self, data: bytes) -> None:
        """Parse received bytes."""
        # Empty data makes the parser continue with data that it held back.
        for start in range(0, max(len(data), 1), _PARSE_CHUNK_BYTES):
            if self._interim_count > MAX_INTERIM_COUNT:
                return
            super().data_received(data[start : start + _PARSE_CHUNK_BYTES])

    def feed_data(
        self, data: tuple[RawResponseMessage, StreamReader], size: int = 0
    ) -> None:
        """Pass the head of a response on unless the limit is exceeded."""
        message, _ = data
        if not _is_interim(message):
            self._interim_count = 0
            super().feed_data(data, size)
            return
        self._interim_count += 1
        if self._interim_count <= MAX_INTERIM_COUNT:
            super().feed_data(data, size)
        elif self._interim_count == MAX_INTERIM_COUNT + 1:
            self._abort()

    def _abort(self) -> None:
        self.set_exception(
            HttpProcessingError(
                code=_STATUS_BAD_GATEWAY,
                message=f'more than {MAX_INTERIM_COUNT} interim responses',
            )
        )
        if self.transport is not None:
            self.transport.abort()


def _is_interim(message: RawResponseMessage) -> bool:
    """Return whether the final response is still to come."""
    return 100 <= message.code < 200 and message.code != 101
