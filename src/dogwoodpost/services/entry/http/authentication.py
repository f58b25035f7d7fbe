"""Checks callers' keys against the configuration in force."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from dogwoodpost.core import ids
from dogwoodpost.core.keys import KeyIndex
from dogwoodpost.errors import RequestError

if TYPE_CHECKING:
    from aiohttp import web

    from dogwoodpost.core.configuration import ClientAccount
    from dogwoodpost.core.configuration import Configuration
    from dogwoodpost.ports.configuration_source import ConfigurationSource

_SCHEME = 'bearer'
_STALE_RETRY_AFTER_S = 1.0


class Identity(msgspec.Struct, frozen=True):
    """The key that was presented and the account that it belongs to."""

    key_id: ids.KeyId
    client_account_id: ids.ClientAccountId


class Authenticator:
    """Finds out who sent a request."""

    def __init__(self, source: ConfigurationSource) -> None:
        self._source = source
        self._indexed: Configuration | None = None
        self._index = KeyIndex(())

    def identify(self, request: web.Request) -> Identity:
        """Return whose key the request presents.

        :raises RequestError: there is no valid key, its client account is
            disabled, or the configuration may be outdated.
        """
        if not self._source.is_fresh():
            raise RequestError(
                'configuration_stale',
                'this entry cannot tell whether the key is still valid',
                status=503,
                not_run=True,
                retry_after_s=_STALE_RETRY_AFTER_S,
            )
        key = presented_key(request)
        if key is None:
            raise _unauthorized('missing_key', 'a key is required')
        configuration = self._source.current()
        record = self._current_index(configuration).find(key)
        if record is None:
            raise _unauthorized('unknown_key', 'the key is unknown')
        identity = Identity(record.key_id, record.client_account_id)
        check_identity(configuration, identity)
        return identity

    def _current_index(self, configuration: Configuration) -> KeyIndex:
        if self._indexed is not configuration:
            self._index = KeyIndex(configuration.keys.values())
            self._indexed = configuration
        return self._index


def presented_key(request: web.Request) -> str | None:
    """Return the key in the Authorization header, or None.

    :raises RequestError: the header is repeated or of another scheme.
    """
    values = request.headers.getall('Authorization', [])
    if not values:
        return None
    scheme, _, key = values[0].partition(' ')
    key = key.strip()
    if len(values) > 1 or scheme.lower() != _SCHEME or not key:
        raise _unauthorized(
            'malformed_key', 'expected one header Authorization: Bearer <key>'
        )
    return key


def check_identity(configuration: Configuration, identity: Identity) -> None:
    """Check that a key and its account are still valid.

    :raises RequestError: the key is revoked or the account disabled.
    """
    record = configuration.keys.get(identity.key_id)
    if (
        record is None
        or record.revoked
        or record.client_account_id != identity.client_account_id
    ):
        raise _unauthorized('key_revoked', 'the key has been revoked')
    account = configuration.client_accounts.get(identity.client_account_id)
    if account is None or not account.enabled:
        raise RequestError(
            'client_account_disabled',
            'the client account is disabled',
            status=403,
            not_run=True,
        )


def account_of(
    configuration: Configuration, identity: Identity | None
) -> ClientAccount | None:
    """Return the account of an identity, None on routes open to all."""
    if identity is None:
        return None
    return configuration.client_accounts.get(identity.client_account_id)


def _unauthorized(code: str, message: str) -> RequestError:
    return RequestError(code, message, status=401, not_run=True)
