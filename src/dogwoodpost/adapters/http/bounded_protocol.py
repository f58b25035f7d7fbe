"""Client protocol that rejects malformed and endless responses."""

from __future__ import annotations

from typing import Any
from typing import TYPE_CHECKING

from aiohttp.client_proto import ResponseHandler
from aiohttp.http_exceptions import HttpProcessingError

from dogwoodpost.adapters.http.response_framing import check_framing
from dogwoodpost.adapters.http.response_head import MalformedHeadError
from dogwoodpost.adapters.http.response_head import ResponseHeadValidator
from dogwoodpost.core.http_status import is_interim_status

if TYPE_CHECKING:
    import asyncio

    from aiohttp import StreamReader
    from aiohttp.http_parser import RawResponseMessage

# Interim (1xx) responses that may precede one final response.
MAX_INTERIM_COUNT = 16
# The parser processes all the data of one call; with short chunks, the limit
# takes effect before a whole read has been parsed.
_PARSE_CHUNK_BYTES = 16 * 1024
_STATUS_BAD_GATEWAY = 502


class BoundedResponseHandler(ResponseHandler):
    """Aborts connections whose responses are malformed or do not end.

    An endless sequence of interim responses would keep the event loop busy
    until the call times out, and delay all other calls.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        super().__init__(loop)
        self._head_validator: ResponseHeadValidator | None = None
        self._interim_count = 0
        self._is_rejected = False

    def set_response_params(self, *args: Any, **kwargs: Any) -> None:
        """Prepare for the response to a request."""
        self._head_validator = ResponseHeadValidator()
        super().set_response_params(*args, **kwargs)

    def data_received(self, data: bytes) -> None:
        """Parse received bytes."""
        # Empty data makes the parser continue with data that it held back.
        for start in range(0, max(len(data), 1), _PARSE_CHUNK_BYTES):
            if self._is_rejected:
                return
            self._parse(data[start : start + _PARSE_CHUNK_BYTES])

    def feed_data(
        self, data: tuple[RawResponseMessage, StreamReader], size: int = 0
    ) -> None:
        """Pass the head of a response on if it is accepted."""
        if self._is_rejected:
            return
        message, _ = data
        try:
            check_framing(message)
            self._check_interim_count(message)
        except (MalformedHeadError, HttpProcessingError) as error:
            self._reject(error)
            return
        super().feed_data(data, size)

    def _check_interim_count(self, message: RawResponseMessage) -> None:
        """Count interim responses up to the next final one.

        :raises HttpProcessingError: there are too many.
        """
        if not is_interim_status(message.code):
            self._interim_count = 0
            return
        self._interim_count += 1
        if self._interim_count > MAX_INTERIM_COUNT:
            raise HttpProcessingError(
                code=_STATUS_BAD_GATEWAY,
                message=f'more than {MAX_INTERIM_COUNT} interim responses',
            )

    def _parse(self, data: bytes) -> None:
        # Bytes that arrive before the first request are kept until then.
        if self._head_validator is not None:
            try:
                self._head_validator.feed(data)
            except MalformedHeadError as error:
                self._reject(error)
                return
        super().data_received(data)

    def _reject(self, error: Exception) -> None:
        """Fail the call and abort the connection."""
        self._is_rejected = True
        self.set_exception(error)
        if self.transport is not None:
            self.transport.abort()
