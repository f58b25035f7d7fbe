"""Conversions between the Protobuf messages and the core's types."""

from __future__ import annotations

from functools import singledispatch
from typing import Any
from typing import TYPE_CHECKING

from dogwoodpost.admin import dogwoodpost_admin_pb2 as pb
from dogwoodpost.core import ids
from dogwoodpost.core.configuration import changes
from dogwoodpost.core.configuration import ClientAccount
from dogwoodpost.core.configuration import Limits
from dogwoodpost.core.configuration import Route
from dogwoodpost.core.configuration import Service
from dogwoodpost.core.configuration import ServiceKind
from dogwoodpost.core.configuration.validation import NAME
from dogwoodpost.core.findings import Finding
from dogwoodpost.errors import InvalidInputError

if TYPE_CHECKING:
    from google.protobuf.message import Message

    from dogwoodpost.core.configuration import Configuration
    from dogwoodpost.core.configuration import FieldDifference
    from dogwoodpost.core.configuration.records import RevisionRecord
    from dogwoodpost.core.configuration.spread import SpreadReport

_SERVICE_KINDS = {
    pb.SERVICE_KIND_ENGINE: ServiceKind.ENGINE,
    pb.SERVICE_KIND_PLAIN: ServiceKind.PLAIN,
}
_PB_SERVICE_KINDS = {kind: value for value, kind in _SERVICE_KINDS.items()}


def check_context(context: pb.ChangeContext) -> None:
    """Validate the context of a change request.

    :raises InvalidInputError: the request id is missing or malformed.
    """
    if not NAME.fullmatch(context.request_id):
        finding = Finding(
            'context.request_id',
            repr(context.request_id),
            'up to 128 letters, digits, ".", "_" and "-"',
        )
        raise InvalidInputError([finding])


@singledispatch
def to_change(request: Message) -> changes.Change:
    """Return the change that a request asks for.

    :raises InvalidInputError: the request cannot be converted.
    """
    raise NotImplementedError(type(request).__name__)


@to_change.register
def _(request: pb.CreateClientAccountRequest) -> changes.Change:
    account = ClientAccount(
        client_account_id=ids.ClientAccountId(request.client_account_id),
        limits=Limits(**_set_fields(request.limits)),
        enabled=not request.disabled,
    )
    return changes.CreateClientAccount(client_account=account)


@to_change.register
def _(request: pb.UpdateLimitsRequest) -> changes.Change:
    return changes.UpdateLimits(
        client_account_id=ids.ClientAccountId(request.client_account_id),
        **_set_fields(request.limits),
    )


@to_change.register
def _(request: pb.EnableClientAccountRequest) -> changes.Change:
    return changes.SetClientAccountEnabled(
        client_account_id=ids.ClientAccountId(request.client_account_id),
        enabled=True,
    )


@to_change.register
def _(request: pb.DisableClientAccountRequest) -> changes.Change:
    return changes.SetClientAccountEnabled(
        client_account_id=ids.ClientAccountId(request.client_account_id),
        enabled=False,
    )


@to_change.register
def _(request: pb.RevokeKeyRequest) -> changes.Change:
    return changes.RevokeKey(key_id=ids.KeyId(request.key_id))


@to_change.register
def _(request: pb.PutServiceRequest) -> changes.Change:
    kind = _SERVICE_KINDS.get(request.service.kind)
    if kind is None:
        finding = Finding(
            'service.kind', str(request.service.kind), 'engine or plain'
        )
        raise InvalidInputError([finding])
    values = _set_fields(request.service) | {'kind': kind}
    values.setdefault('name', '')
    return changes.PutService(service=Service(**values))


@to_change.register
def _(request: pb.DeleteServiceRequest) -> changes.Change:
    return changes.DeleteService(name=ids.ServiceName(request.name))


@to_change.register
def _(request: pb.PutRouteRequest) -> changes.Change:
    values: dict[str, Any] = {'name': '', 'service': '', 'path_prefix': ''}
    values |= _set_fields(request.route)
    accounts = tuple(request.route.client_account_ids)
    return changes.PutRoute(
        route=Route(**values | {'client_account_ids': accounts})
    )


@to_change.register
def _(request: pb.DeleteRouteRequest) -> changes.Change:
    return changes.DeleteRoute(name=ids.RouteName(request.name))


def from_configuration(configuration: Configuration) -> pb.Configuration:
    """Convert a configuration; digests of keys are left out."""
    return pb.Configuration(
        revision=configuration.revision,
        client_accounts=[
            pb.ClientAccount(
                client_account_id=account.client_account_id,
                limits=pb.Limits(**_field_values(account.limits)),
                enabled=account.enabled,
            )
            for account in _sorted(configuration.client_accounts)
        ],
        keys=[
            pb.Key(
                key_id=key.key_id,
                client_account_id=key.client_account_id,
                revoked=key.revoked,
                revoked_revision=key.revoked_revision,
            )
            for key in _sorted(configuration.keys)
        ],
        services=[
            pb.Service(
                **_schema_field_values(service, pb.Service)
                | {'kind': _PB_SERVICE_KINDS[service.kind]}
            )
            for service in _sorted(configuration.services)
        ],
        routes=[
            pb.Route(**_schema_field_values(route, pb.Route))
            for route in _sorted(configuration.routes)
        ],
    )


def from_spread(report: SpreadReport) -> pb.Spread:
    """Convert a report of which entries have a revision in force."""
    return pb.Spread(
        revision=report.revision,
        in_force=report.in_force,
        waiting_for=report.waiting_for,
        confirmed=report.confirmed,
    )


def from_record(record: RevisionRecord) -> pb.HistoryItem:
    """Convert a revision record to an item of the history."""
    places = [
        f'{section}.{name}'
        for section in record.delta.__struct_fields__
        for name in sorted(getattr(record.delta, section))
    ]
    return pb.HistoryItem(
        revision=record.revision,
        request_id=record.request_id,
        change=record.change,
        accepted_at_ms=record.accepted_at_ms,
        places=places,
    )


def from_difference(difference: FieldDifference) -> pb.FieldDifference:
    """Convert one differing field; values of digests are left out."""
    is_digest = difference.place.endswith('.digest')
    return pb.FieldDifference(
        place=difference.place,
        before='' if is_digest else difference.before,
        after='' if is_digest else difference.after,
    )


def _set_fields(message: Message) -> dict[str, Any]:
    return {
        descriptor.name: value for descriptor, value in message.ListFields()
    }


def _field_values(struct: Any) -> dict[str, Any]:
    return {
        field: getattr(struct, field) for field in struct.__struct_fields__
    }


def _schema_field_values(
    struct: Any, message: type[Message]
) -> dict[str, Any]:
    """Return the values of those fields that the message type also has.

    Routes have fields that only the platform's operator sets; this API
    neither accepts nor returns them.
    """
    schema_fields = message.DESCRIPTOR.fields_by_name
    return {
        name: value
        for name, value in _field_values(struct).items()
        if name in schema_fields
    }


def _sorted(entries: dict[Any, Any]) -> list[Any]:
    return [entries[name] for name in sorted(entries)]
