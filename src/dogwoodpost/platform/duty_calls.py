"""Platform calls that only one process at a time may make."""

from __future__ import annotations

from typing import TYPE_CHECKING

import yarl

from dogwoodpost.errors import PlatformError
from dogwoodpost.errors import PlatformRateLimitError
from dogwoodpost.platform import header_names
from dogwoodpost.platform.guarded_calls import guarded_post
from dogwoodpost.platform.guarded_calls import same_lease

if TYPE_CHECKING:
    from collections.abc import Callable

    import aiohttp

    from dogwoodpost.core import ids

_STATUS_OK = 200
_STATUS_TOO_MANY = 429
_RETRY_AFTER_S = 0.5


class DutyConnection:
    """Sends calls under the fencing number of a lease.

    :param address: returns the current host and port.
    :param session: session for calls under a lease.
    :param holder_name: name of this process as holder of the lease.
    :param fencing_number: returns the fencing number of the lease.
    """

    def __init__(
        self,
        address: Callable[[], str],
        session: aiohttp.ClientSession,
        holder_name: str,
        fencing_number: Callable[[], ids.FencingNumber],
    ) -> None:
        self._address = address
        self._session = session
        self._holder_name = holder_name
        self._fencing_number = fencing_number

    async def post(
        self,
        path: str,
        body: bytes,
        before_send: Callable[[], object] | None,
    ) -> None:
        """Send a POST request.

        :param before_send: called directly before the request is sent; if it
            raises, nothing is sent.
        :raises LeaseLostError: the lease is not held; nothing was sent.
        :raises PlatformRateLimitError: the rate limit was exceeded.
        :raises PlatformError: the call was refused.
        :raises PlatformOutcomeUnknownError: no response arrived; the call
            may have taken effect.
        """
        number = self._fencing_number()
        check_number = same_lease(self._fencing_number, number)

        def check_lease() -> None:
            if before_send is not None:
                before_send()
            check_number()

        async with guarded_post(
            self._session,
            yarl.URL(f'http://{self._address()}{path}'),
            body,
            headers={
                header_names.DUTY_HOLDER: self._holder_name,
                header_names.FENCING_TOKEN: str(number),
            },
            before_send=check_lease,
        ) as response:
            status = response.status
        if status == _STATUS_TOO_MANY:
            raise PlatformRateLimitError(
                f'{path}: rate limit exceeded, status 429', _RETRY_AFTER_S
            )
        if status != _STATUS_OK:
            raise PlatformError(f'{path} failed with status {status}')
