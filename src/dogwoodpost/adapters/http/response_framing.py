"""Checks of how the body of a parsed response is framed."""

from __future__ import annotations

from typing import TYPE_CHECKING

from dogwoodpost.adapters.http.response_head import MalformedHeadError

if TYPE_CHECKING:
    from aiohttp.http_parser import RawResponseMessage

_CHUNKED = 'chunked'


def check_transfer_coding(message: RawResponseMessage) -> None:
    """Check that the parser has removed all transfer codings of a response.

    No request names codings that may be used, so only ``chunked`` is allowed
    (RFC 9112, section 7).

    :raises MalformedHeadError: the body would keep a coding that its receiver
        does not learn of.
    """
    codings = message.headers.getall('Transfer-Encoding', ())
    if not codings:
        return
    is_known = [coding.strip().lower() for coding in codings] == [_CHUNKED]
    if not is_known or not message.chunked:
        raise MalformedHeadError('an unknown transfer coding')
