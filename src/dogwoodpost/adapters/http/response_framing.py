"""Checks of how the body of a parsed response is framed."""

from __future__ import annotations

from typing import TYPE_CHECKING

from dogwoodpost.adapters.http.response_head import MalformedHeadError
from dogwoodpost.core.http_headers import content_length
from dogwoodpost.core.http_status import is_interim_status

if TYPE_CHECKING:
    from aiohttp.http_parser import RawResponseMessage

_CHUNKED = 'chunked'


def check_framing(message: RawResponseMessage) -> None:
    """Check that the head leaves no doubt about where the body ends.

    :raises MalformedHeadError: readers may disagree about the body.
    """
    if is_interim_status(message.code):
        _check_no_body(message)
    else:
        _check_transfer_coding(message)


def _check_no_body(message: RawResponseMessage) -> None:
    """Check that an interim response states no body.

    The parser takes one from some of them, which may hide a whole response.
    """
    headers = message.headers
    if content_length(headers.items()) or 'Transfer-Encoding' in headers:
        raise MalformedHeadError('an interim response with a body')


def _check_transfer_coding(message: RawResponseMessage) -> None:
    """Check that the parser has removed all transfer codings of a response.

    No request names codings that may be used, so only ``chunked`` is allowed
    (RFC 9112, section 7). Any other would stay on a body whose receiver does
    not learn of it.
    """
    codings = message.headers.getall('Transfer-Encoding', ())
    if not codings:
        return
    is_known = [coding.strip().lower() for coding in codings] == [_CHUNKED]
    if not is_known or not message.chunked:
        raise MalformedHeadError('an unknown transfer coding')
