"""``dogwoodpost admin``: a client of the administration API."""

from __future__ import annotations

import asyncio
import os
import sys
import uuid
from dataclasses import dataclass
from enum import Enum
from typing import Annotated
from typing import Any

import cyclopts
from cyclopts import Parameter
from google.protobuf.json_format import MessageToJson
from google.protobuf.message import Message
from grpclib import GRPCError
from grpclib import Status

from dogwoodpost.admin import dogwoodpost_admin_pb2 as pb
from dogwoodpost.admin.client import admin_stub
from dogwoodpost.admin.client import call_metadata

TOKEN_VARIABLE = 'DOGWOODPOST_ADMIN_TOKEN'
CALL_TIMEOUT_S = 15.0
WATCH_TIMEOUT_S = 60.0

admin_app = cyclopts.App(
    name='admin',
    help=(
        'Administer client accounts, keys, services and routes. The token '
        f'is read from {TOKEN_VARIABLE}.'
    ),
)
account_app = cyclopts.App(name='account', help='Client accounts.')
key_app = cyclopts.App(name='key', help='Keys of client accounts.')
service_app = cyclopts.App(name='service', help='Declared services.')
route_app = cyclopts.App(name='route', help='Routes to services.')
for _app in (account_app, key_app, service_app, route_app):
    admin_app.command(_app)


class ExitCode(Enum):
    """Exit codes of the commands."""

    FAILED = 1
    INVALID = 2
    CONFLICT = 3


@Parameter(name='*')
@dataclass(frozen=True, kw_only=True)
class Target:
    """Which entry to call, as IP address and port."""

    address: Annotated[str, Parameter(env_var='DOGWOODPOST_ADMIN_ADDRESS')] = (
        '127.0.0.1:7070'
    )


@Parameter(name='*')
@dataclass(frozen=True, kw_only=True)
class ChangeOptions(Target):
    """Options of every change.

    Parameters
    ----------
    request_id
        Repeat a failed command with the same id to learn its result.
    base_revision
        Make the change only if this is the current revision.
    wait
        Wait until the change is in force at every entry.
    """

    request_id: str = ''
    base_revision: int | None = None
    wait: bool = False

    def context(self) -> pb.ChangeContext:
        """Return the context of the change."""
        return pb.ChangeContext(
            request_id=self.request_id or uuid.uuid4().hex,
            base_revision=self.base_revision,
        )


@Parameter(name='*')
@dataclass(frozen=True, kw_only=True)
class LimitOptions:
    """Limits; an absent one keeps its value or takes the default."""

    max_concurrency: int | None = None
    token_rate_per_s: float | None = None
    token_burst_tokens: int | None = None
    max_queued_count: int | None = None
    weight: float | None = None

    def message(self) -> pb.LimitsChange:
        """Return the limits that are given."""
        return pb.LimitsChange(
            max_concurrency=self.max_concurrency,
            token_rate_per_s=self.token_rate_per_s,
            token_burst_tokens=self.token_burst_tokens,
            max_queued_count=self.max_queued_count,
            weight=self.weight,
        )


class Kind(Enum):
    """Kinds of services."""

    ENGINE = pb.SERVICE_KIND_ENGINE
    PLAIN = pb.SERVICE_KIND_PLAIN


_TARGET = Target()
_CHANGE = ChangeOptions()
_LIMITS = LimitOptions()


@account_app.command(name='create')
def create_account(
    client_account_id: str,
    *,
    disabled: bool = False,
    limits: LimitOptions = _LIMITS,
    options: ChangeOptions = _CHANGE,
) -> None:
    """Create a client account."""
    request = pb.CreateClientAccountRequest(
        context=options.context(),
        client_account_id=client_account_id,
        limits=limits.message(),
        disabled=disabled,
    )
    _change('CreateClientAccount', request, options)


@account_app.command(name='limits')
def update_limits(
    client_account_id: str,
    *,
    limits: LimitOptions = _LIMITS,
    options: ChangeOptions = _CHANGE,
) -> None:
    """Set limits of a client account."""
    request = pb.UpdateLimitsRequest(
        context=options.context(),
        client_account_id=client_account_id,
        limits=limits.message(),
    )
    _change('UpdateLimits', request, options)


@account_app.command(name='enable')
def enable_account(
    client_account_id: str, *, options: ChangeOptions = _CHANGE
) -> None:
    """Enable a client account."""
    request = pb.EnableClientAccountRequest(
        context=options.context(), client_account_id=client_account_id
    )
    _change('EnableClientAccount', request, options)


@account_app.command(name='disable')
def disable_account(
    client_account_id: str, *, options: ChangeOptions = _CHANGE
) -> None:
    """Disable a client account."""
    request = pb.DisableClientAccountRequest(
        context=options.context(), client_account_id=client_account_id
    )
    _change('DisableClientAccount', request, options)


@key_app.command(name='issue')
def issue_key(
    client_account_id: str, *, options: ChangeOptions = _CHANGE
) -> None:
    """Issue a key; it is printed once and cannot be shown again."""
    request = pb.IssueKeyRequest(
        context=options.context(), client_account_id=client_account_id
    )
    _change('IssueKey', request, options)


@key_app.command(name='revoke')
def revoke_key(key_id: str, *, options: ChangeOptions = _CHANGE) -> None:
    """Revoke a key; --wait returns when no entry accepts it any more."""
    request = pb.RevokeKeyRequest(context=options.context(), key_id=key_id)
    _change('RevokeKey', request, options)


@service_app.command(name='put')
def put_service(
    name: str,
    kind: Kind,
    *,
    model: str | None = None,
    checks_fencing: bool | None = None,
    endpoint_concurrency: int | None = None,
    min_endpoint_count: int | None = None,
    max_endpoint_count: int | None = None,
    endpoint_cost_per_hour: float | None = None,
    options: ChangeOptions = _CHANGE,
) -> None:
    """Declare a service, or replace its declaration."""
    service = pb.Service(
        name=name,
        kind=kind.value,
        model=model,
        checks_fencing=checks_fencing,
        endpoint_concurrency=endpoint_concurrency,
        min_endpoint_count=min_endpoint_count,
        max_endpoint_count=max_endpoint_count,
        endpoint_cost_per_hour=endpoint_cost_per_hour,
    )
    request = pb.PutServiceRequest(context=options.context(), service=service)
    _change('PutService', request, options)


@service_app.command(name='delete')
def delete_service(name: str, *, options: ChangeOptions = _CHANGE) -> None:
    """Remove a service."""
    request = pb.DeleteServiceRequest(context=options.context(), name=name)
    _change('DeleteService', request, options)


@route_app.command(name='put')
def put_route(
    name: str,
    service: str,
    path_prefix: str,
    *,
    model: str | None = None,
    idempotent: bool | None = None,
    open_to_all: bool | None = None,
    client_account: tuple[str, ...] = (),
    max_body_bytes: int | None = None,
    timeout_ms: int | None = None,
    priority: int | None = None,
    options: ChangeOptions = _CHANGE,
) -> None:
    """Declare a route, or replace its declaration."""
    route = pb.Route(
        name=name,
        service=service,
        path_prefix=path_prefix,
        model=model,
        idempotent=idempotent,
        open_to_all=open_to_all,
        client_account_ids=client_account,
        max_body_bytes=max_body_bytes,
        timeout_ms=timeout_ms,
        priority=priority,
    )
    request = pb.PutRouteRequest(context=options.context(), route=route)
    _change('PutRoute', request, options)


@route_app.command(name='delete')
def delete_route(name: str, *, options: ChangeOptions = _CHANGE) -> None:
    """Remove a route."""
    request = pb.DeleteRouteRequest(context=options.context(), name=name)
    _change('DeleteRoute', request, options)


@admin_app.command
def restore(revision: int, *, options: ChangeOptions = _CHANGE) -> None:
    """Make the content of an earlier revision a new revision."""
    request = pb.RestoreRevisionRequest(
        context=options.context(), revision=revision
    )
    _change('RestoreRevision', request, options)


@admin_app.command
def state(revision: int | None = None, *, target: Target = _TARGET) -> None:
    """Print the current revision, or an earlier one."""
    request = pb.ReadConfigurationRequest(revision=revision)
    _run_call(_call_and_print(target, 'ReadConfiguration', request))


@admin_app.command
def history(
    *, after: int = 0, limit: int = 100, target: Target = _TARGET
) -> None:
    """Print the changes after a revision."""
    request = pb.ListHistoryRequest(after_revision=after, limit=limit)
    _run_call(_call_and_print(target, 'ListHistory', request))


@admin_app.command
def diff(before: int, after: int, *, target: Target = _TARGET) -> None:
    """Print the fields that differ between two revisions."""
    request = pb.DiffRevisionsRequest(from_revision=before, to_revision=after)
    _run_call(_call_and_print(target, 'DiffRevisions', request))


@admin_app.command
def watch(revision: int = 0, *, target: Target = _TARGET) -> None:
    """Print which entries have a revision in force, until all have it."""
    _run_call(_watch(target, revision))


def _change(method: str, request: Message, options: ChangeOptions) -> None:
    _run_call(_call_change(method, request, options))


async def _call_change(
    method: str, request: Any, options: ChangeOptions
) -> None:
    print(f'request id: {request.context.request_id}', file=sys.stderr)
    response = await _call_and_print(options, method, request)
    if options.wait:
        change = getattr(response, 'change', response)
        await _watch(options, change.revision)


async def _call_and_print(target: Target, method: str, request: Any) -> Any:
    host, port = _split_address(target.address)
    async with admin_stub(host, port) as stub:
        response = await getattr(stub, method)(
            request, timeout=CALL_TIMEOUT_S, metadata=_metadata()
        )
    _print(response)
    return response


async def _watch(target: Target, revision: int) -> None:
    host, port = _split_address(target.address)
    request = pb.WatchSpreadRequest(revision=revision)
    async with admin_stub(host, port) as stub:
        stream = stub.WatchSpread.open(
            timeout=WATCH_TIMEOUT_S, metadata=_metadata()
        )
        async with stream as opened:
            await opened.send_message(request, end=True)
            async for spread in opened:
                _print(spread)


def _run_call(coroutine: Any) -> None:
    try:
        asyncio.run(coroutine)
    except GRPCError as error:
        _exit_with_error(error)
    except (OSError, TimeoutError) as error:
        print(f'no answer from the entry: {error!r}', file=sys.stderr)
        sys.exit(ExitCode.FAILED.value)


def _exit_with_error(error: GRPCError) -> None:
    name = error.status.name
    print(f'{name}: {error.message or ""}', file=sys.stderr)
    codes = {
        Status.INVALID_ARGUMENT: ExitCode.INVALID,
        Status.ABORTED: ExitCode.CONFLICT,
    }
    sys.exit(codes.get(error.status, ExitCode.FAILED).value)


def _print(message: Message) -> None:
    text = MessageToJson(
        message,
        preserving_proto_field_name=True,
        always_print_fields_with_no_presence=True,
    )
    print(text)


def _metadata() -> dict[str, str]:
    return call_metadata(os.environ.get(TOKEN_VARIABLE))


def _split_address(address: str) -> tuple[str, int]:
    host, _, port = address.rpartition(':')
    return host, int(port)
