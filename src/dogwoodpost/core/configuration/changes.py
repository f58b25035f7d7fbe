"""Changes to the configuration, and their application."""

from __future__ import annotations

from functools import singledispatch

import msgspec

from dogwoodpost.core import ids
from dogwoodpost.core.configuration.model import ClientAccount
from dogwoodpost.core.configuration.model import Configuration
from dogwoodpost.core.configuration.model import KeyRecord
from dogwoodpost.core.configuration.model import Limits
from dogwoodpost.core.configuration.model import Route
from dogwoodpost.core.configuration.model import Service
from dogwoodpost.core.findings import Finding
from dogwoodpost.errors import InvalidInputError


class Change(msgspec.Struct, frozen=True, tag=True, kw_only=True):
    """Base class of all changes."""


class CreateClientAccount(Change, frozen=True, kw_only=True):
    """Adds a client account that does not exist yet."""

    client_account: ClientAccount


class UpdateLimits(Change, frozen=True, kw_only=True):
    """Sets the given limits of a client account and keeps the others."""

    client_account_id: ids.ClientAccountId
    max_concurrency: int | None = None
    token_rate_per_s: float | None = None
    token_burst_tokens: int | None = None
    max_queued_count: int | None = None
    weight: float | None = None


class SetClientAccountEnabled(Change, frozen=True, kw_only=True):
    """Enables or disables a client account."""

    client_account_id: ids.ClientAccountId
    enabled: bool


class IssueKey(Change, frozen=True, kw_only=True):
    """Adds a key to a client account; only its digest is stored."""

    key_id: ids.KeyId
    client_account_id: ids.ClientAccountId
    digest: str


class RevokeKey(Change, frozen=True, kw_only=True):
    """Revokes a key permanently."""

    key_id: ids.KeyId


class PutService(Change, frozen=True, kw_only=True):
    """Adds or replaces a service."""

    service: Service


class DeleteService(Change, frozen=True, kw_only=True):
    """Removes a service."""

    name: ids.ServiceName


class PutRoute(Change, frozen=True, kw_only=True):
    """Adds or replaces a route."""

    route: Route


class DeleteRoute(Change, frozen=True, kw_only=True):
    """Removes a route."""

    name: ids.RouteName


class RestoreRevision(Change, frozen=True, kw_only=True):
    """Restores the content of an earlier revision as a new revision.

    Keys are not restored: a revoked key stays revoked, and a key that is
    missing from the earlier content is revoked.
    """

    revision: ids.Revision
    content: Configuration


AnyChange = (
    CreateClientAccount
    | UpdateLimits
    | SetClientAccountEnabled
    | IssueKey
    | RevokeKey
    | PutService
    | DeleteService
    | PutRoute
    | DeleteRoute
    | RestoreRevision
)


def apply_change(base: Configuration, change: Change) -> Configuration:
    """Return the next revision, which results from a change.

    :raises InvalidInputError: the change names an entry that does not exist,
        or adds one that exists already.
    """
    revision = ids.Revision(base.revision + 1)
    result = _apply(change, msgspec.structs.replace(base, revision=revision))
    return result


@singledispatch
def _apply(change: Change, base: Configuration) -> Configuration:
    raise NotImplementedError(type(change).__name__)


@_apply.register
def _(change: CreateClientAccount, base: Configuration) -> Configuration:
    account = change.client_account
    if account.client_account_id in base.client_accounts:
        raise _invalid_input_error(
            f'client_accounts.{account.client_account_id}',
            'a client account that exists already',
            'an unused id',
        )
    return _with_account(base, account)


@_apply.register
def _(change: UpdateLimits, base: Configuration) -> Configuration:
    account = _get_account(base, change.client_account_id)
    values = {
        field: value
        for field in Limits.__struct_fields__
        if (value := getattr(change, field)) is not None
    }
    limits = msgspec.structs.replace(account.limits, **values)
    return _with_account(base, msgspec.structs.replace(account, limits=limits))


@_apply.register
def _(change: SetClientAccountEnabled, base: Configuration) -> Configuration:
    account = _get_account(base, change.client_account_id)
    return _with_account(
        base, msgspec.structs.replace(account, enabled=change.enabled)
    )


@_apply.register
def _(change: IssueKey, base: Configuration) -> Configuration:
    if change.key_id in base.keys:
        raise _invalid_input_error(
            f'keys.{change.key_id}',
            'a key that exists already',
            'an unused id',
        )
    record = KeyRecord(
        key_id=change.key_id,
        client_account_id=change.client_account_id,
        digest=change.digest,
    )
    return msgspec.structs.replace(
        base, keys={**base.keys, change.key_id: record}
    )


@_apply.register
def _(change: RevokeKey, base: Configuration) -> Configuration:
    record = base.keys.get(change.key_id)
    if record is None:
        raise _not_found_error(f'keys.{change.key_id}')
    if record.revoked:
        return base
    keys = {**base.keys, change.key_id: _revoke(record, base.revision)}
    return msgspec.structs.replace(base, keys=keys)


@_apply.register
def _(change: PutService, base: Configuration) -> Configuration:
    services = {**base.services, change.service.name: change.service}
    return msgspec.structs.replace(base, services=services)


@_apply.register
def _(change: DeleteService, base: Configuration) -> Configuration:
    if change.name not in base.services:
        raise _not_found_error(f'services.{change.name}')
    services = {**base.services}
    del services[change.name]
    return msgspec.structs.replace(base, services=services)


@_apply.register
def _(change: PutRoute, base: Configuration) -> Configuration:
    routes = {**base.routes, change.route.name: change.route}
    return msgspec.structs.replace(base, routes=routes)


@_apply.register
def _(change: DeleteRoute, base: Configuration) -> Configuration:
    if change.name not in base.routes:
        raise _not_found_error(f'routes.{change.name}')
    routes = {**base.routes}
    del routes[change.name]
    return msgspec.structs.replace(base, routes=routes)


@_apply.register
def _(change: RestoreRevision, base: Configuration) -> Configuration:
    keys = {
        key_id: (
            record
            if record.revoked or key_id in change.content.keys
            else _revoke(record, base.revision)
        )
        for key_id, record in base.keys.items()
    }
    return msgspec.structs.replace(
        change.content, revision=base.revision, keys=keys
    )


def _get_account(
    base: Configuration, client_account_id: ids.ClientAccountId
) -> ClientAccount:
    account = base.client_accounts.get(client_account_id)
    if account is None:
        raise _not_found_error(f'client_accounts.{client_account_id}')
    return account


def _with_account(
    base: Configuration, account: ClientAccount
) -> Configuration:
    accounts = {**base.client_accounts, account.client_account_id: account}
    return msgspec.structs.replace(base, client_accounts=accounts)


def _revoke(record: KeyRecord, revision: ids.Revision) -> KeyRecord:
    return msgspec.structs.replace(
        record, revoked=True, revoked_revision=revision
    )


def _not_found_error(place: str) -> InvalidInputError:
    return _invalid_input_error(place, 'nothing', 'an existing entry')


def _invalid_input_error(
    place: str, found: str, expected: str
) -> InvalidInputError:
    return InvalidInputError([Finding(place, found, expected)])
