"""How the end of a response's body is marked, and whether it was reached."""

from __future__ import annotations

from typing import TYPE_CHECKING

from dogwoodpost.adapters.http.call_errors import call_failure
from dogwoodpost.errors import EndpointError

if TYPE_CHECKING:
    import aiohttp

_STATUSES_WITHOUT_BODY = frozenset({204, 304})


class BodyEnd:
    """Tells a whole body from one that a connection reset has cut off.

    It has to be created before the body is read, because a response releases
    its connection with the end of the body.

    ``is_connection_end`` tells that only the end of the connection marks that
    of the body (RFC 9112, section 6.3).
    """

    def __init__(self, response: aiohttp.ClientResponse) -> None:
        self.is_connection_end = _ends_with_connection(response)
        connection = response.connection
        self._protocol = connection.protocol if connection else None

    def check_not_reset(self) -> None:
        """Check that the body was not ended by a connection reset.

        aiohttp takes a reset for the end of such a body too.

        :raises EndpointError: the connection was reset.
        """
        if not self.is_connection_end or self._protocol is None:
            return
        error = self._protocol.exception()
        if isinstance(error, OSError):
            raise EndpointError(
                f'response body ended early: {call_failure(error)}'
            )


def _ends_with_connection(response: aiohttp.ClientResponse) -> bool:
    has_length = 'Content-Length' in response.headers
    has_body = (
        response.method != 'HEAD'
        and response.status not in _STATUSES_WITHOUT_BODY
    )
    return (
        has_body
        and not has_length
        and 'Transfer-Encoding' not in response.headers
    )
