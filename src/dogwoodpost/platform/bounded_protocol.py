"""Client protocol that bounds what precedes a response."""

from __future__ import annotations

from typing import TYPE_CHECKING

from aiohttp.client_proto import ResponseHandler
from aiohttp.http_exceptions import HttpProcessingError

if TYPE_CHECKING:
    from aiohttp import StreamReader
    from aiohttp.http_parser import RawResponseMessage

MAX_INTERIM_COUNT = 16
# The parser takes what it is given in one go; in short pieces, the bound
# takes effect before a whole read has been parsed.
_PIECE_BYTES = 16 * 1024
_STATUS_BAD_GATEWAY = 502


class BoundedResponseHandler(ResponseHandler):
    """Ends connections on which interim responses do not end.

    A sender without end would keep the loop busy for as long as its call may
    take, and hold up all others.
    """

    _interim_count = 0

    def data_received(self, data: bytes) -> None:
        """Parse received bytes."""
        # Without data, it goes on with what it has held back.
        for start in range(0, max(len(data), 1), _PIECE_BYTES):
            if self._interim_count > MAX_INTERIM_COUNT:
                return
            super().data_received(data[start : start + _PIECE_BYTES])

    def feed_data(
        self, data: tuple[RawResponseMessage, StreamReader], size: int = 0
    ) -> None:
        """Take the head of a response."""
        message, _ = data
        if not _is_interim(message):
            self._interim_count = 0
            super().feed_data(data, size)
            return
        self._interim_count += 1
        if self._interim_count <= MAX_INTERIM_COUNT:
            super().feed_data(data, size)
        elif self._interim_count == MAX_INTERIM_COUNT + 1:
            self._refuse()

    def _refuse(self) -> None:
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
