"""Checks callers' keys against the current configuration."""

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

_AUTH_SCHEME = 'bearer'
_STALE_RETRY_AFTER_S = 1.0


class Identity(msgspec.Struct, frozen=True):
    """The key of a request and the client account that it belongs to."""

    key_id: ids.KeyId
    client_account_id: ids.ClientAccountId


class Authenticator:
    """Authenticates requests by the key in the Authorization header."""

    def __init__(self, source: ConfigurationSource) -> None:
        self._source = source
        self._indexed_configuration: Configuration | None = None
        self._index = KeyIndex(())

    def identify(self, request: web.Request) -> Identity:
        """Return the identity that the key of a request belongs to.

        :raises RequestError: the key is missing or invalid, its client
            account is disabled, or the configuration is stale.
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
        if self._indexed_configuration is not configuration:
            self._index = KeyIndex(configuration.keys.values())
            self._indexed_configuration = configuration
        return self._index


def presented_key(request: web.Request) -> str | None:
    """Return the key in the Authorization header, or None.

    :raises RequestError: the header is repeated, has another scheme or no key.
    """
    values = request.headers.getall('Authorization', [])
    if not values:
        return None
    scheme, _, key = values[0].partition(' ')
    key = key.strip()
    if len(values) > 1 or scheme.lower() != _AUTH_SCHEME or not key:
        raise _unauthorized(
            'malformed_key', 'expected one header Authorization: Bearer <key>'
        )
    return key


def check_identity(configuration: Configuration, identity: Identity) -> None:
    """Check that a key and its client account are still valid.

    :raises RequestError: the key is revoked or the client account disabled.
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
    """Return the client account of an identity.

    :param identity: None on routes open to all, which have no account.
    """
    if identity is None:
        return None
    return configuration.client_accounts.get(identity.client_account_id)


def _unauthorized(code: str, message: str) -> RequestError:
    return RequestError(code, message, status=401, not_run=True)
