"""Checks the optional token of the administration API."""

from __future__ import annotations

import hmac
from typing import TYPE_CHECKING

from grpclib import GRPCError
from grpclib import Status

if TYPE_CHECKING:
    from collections.abc import Mapping
    from typing import Any

METADATA_KEY = 'authorization'
_SCHEME = 'Bearer '


def check_token(metadata: Mapping[str, Any], token: str | None) -> None:
    """Compare the bearer token of a call in constant time.

    :raises GRPCError: UNAUTHENTICATED if a token is set and the call does
        not carry it.
    """
    if token is None:
        return
    presented = str(metadata.get(METADATA_KEY, ''))
    expected = _SCHEME + token
    if not hmac.compare_digest(presented.encode(), expected.encode()):
        raise GRPCError(Status.UNAUTHENTICATED, 'a valid token is needed')
