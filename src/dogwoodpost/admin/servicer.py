"""Servicer of the administration API."""

from __future__ import annotations

import secrets
from typing import TYPE_CHECKING

import msgspec
from grpclib import GRPCError
from grpclib import Status

from dogwoodpost.admin import conversions
from dogwoodpost.admin import dogwoodpost_admin_pb2 as pb
from dogwoodpost.admin.authorization import check_token
from dogwoodpost.admin.dogwoodpost_admin_grpc import AdminBase
from dogwoodpost.admin.error_mapping import grpc_errors
from dogwoodpost.core import ids
from dogwoodpost.core.configuration import changes
from dogwoodpost.core.configuration import field_differences
from dogwoodpost.core.keys import key_digest
from dogwoodpost.errors import RevisionNotKeptError
from dogwoodpost.services.entry.configuration_editor import ChangeRequest
from dogwoodpost.services.entry.configuration_editor import fingerprint_of

if TYPE_CHECKING:
    from typing import Any

    from grpclib.server import Stream

    from dogwoodpost.core.configuration import Configuration
    from dogwoodpost.ports.clock import Clock
    from dogwoodpost.services.entry.configuration_editor import ChangeOutcome
    from dogwoodpost.services.entry.configuration_editor import (
        ConfigurationEditor,
    )
    from dogwoodpost.services.entry.configuration_repository import (
        ConfigurationRepository,
    )
    from dogwoodpost.services.entry.configuration_service import (
        ConfigurationService,
    )

DEFAULT_HISTORY_LIMIT = 100
MAX_HISTORY_LIMIT = 1000
WATCH_INTERVAL_S = 0.25
KEY_BYTES = 32
KEY_PREFIX = 'dwp_'


class AdminServicer(AdminBase):
    """Implements the administration API; every entry serves it.

    :param token: compared with the call's metadata; None allows every call.
    """

    def __init__(
        self,
        service: ConfigurationService,
        repository: ConfigurationRepository,
        editor: ConfigurationEditor,
        clock: Clock,
        *,
        token: str | None = None,
    ) -> None:
        self._service = service
        self._repository = repository
        self._editor = editor
        self._clock = clock
        self._token = token

    async def CreateClientAccount(
        self,
        stream: Stream[pb.CreateClientAccountRequest, pb.ChangeResult],
    ) -> None:
        """Add a client account."""
        await self._serve_change(stream)

    async def UpdateLimits(
        self, stream: Stream[pb.UpdateLimitsRequest, pb.ChangeResult]
    ) -> None:
        """Set limits of a client account."""
        await self._serve_change(stream)

    async def EnableClientAccount(
        self,
        stream: Stream[pb.EnableClientAccountRequest, pb.ChangeResult],
    ) -> None:
        """Enable a client account."""
        await self._serve_change(stream)

    async def DisableClientAccount(
        self,
        stream: Stream[pb.DisableClientAccountRequest, pb.ChangeResult],
    ) -> None:
        """Disable a client account."""
        await self._serve_change(stream)

    async def IssueKey(
        self, stream: Stream[pb.IssueKeyRequest, pb.IssueKeyResult]
    ) -> None:
        """Issue a key; only the first response contains it."""
        request = await self._receive(stream)
        with grpc_errors('IssueKey'):
            conversions.check_context(request.context)
            key = KEY_PREFIX + secrets.token_urlsafe(KEY_BYTES)
            change = changes.IssueKey(
                key_id=ids.KeyId(f'key-{secrets.token_hex(8)}'),
                client_account_id=ids.ClientAccountId(
                    request.client_account_id
                ),
                digest=key_digest(key),
            )
            unkeyed_change = msgspec.structs.replace(
                change, key_id=ids.KeyId(''), digest=''
            )
            outcome = await self._change(
                request.context,
                change,
                fingerprint_of(unkeyed_change),
                change.key_id,
            )
            result = pb.IssueKeyResult(
                change=self._result(outcome),
                key_id=outcome.subject,
                key='' if outcome.repeated else key,
            )
        await stream.send_message(result)

    async def RevokeKey(
        self, stream: Stream[pb.RevokeKeyRequest, pb.ChangeResult]
    ) -> None:
        """Revoke a key."""
        await self._serve_change(stream)

    async def PutService(
        self, stream: Stream[pb.PutServiceRequest, pb.ChangeResult]
    ) -> None:
        """Declare a service."""
        await self._serve_change(stream)

    async def DeleteService(
        self, stream: Stream[pb.DeleteServiceRequest, pb.ChangeResult]
    ) -> None:
        """Remove a service."""
        await self._serve_change(stream)

    async def PutRoute(
        self, stream: Stream[pb.PutRouteRequest, pb.ChangeResult]
    ) -> None:
        """Declare a route."""
        await self._serve_change(stream)

    async def DeleteRoute(
        self, stream: Stream[pb.DeleteRouteRequest, pb.ChangeResult]
    ) -> None:
        """Remove a route."""
        await self._serve_change(stream)

    async def RestoreRevision(
        self, stream: Stream[pb.RestoreRevisionRequest, pb.ChangeResult]
    ) -> None:
        """Make the content of an earlier revision a new revision."""
        request = await self._receive(stream)
        with grpc_errors('RestoreRevision'):
            conversions.check_context(request.context)
            revision = ids.Revision(request.revision)
            change = changes.RestoreRevision(
                revision=revision,
                content=await self._repository.content_at(revision),
            )
            # The revision determines the content, so the fingerprint has only
            # the revision.
            outcome = await self._change(
                request.context, change, f'restore {revision}'
            )
            result = self._result(outcome)
        await stream.send_message(result)

    async def ReadConfiguration(
        self, stream: Stream[pb.ReadConfigurationRequest, pb.Configuration]
    ) -> None:
        """Return the content of a revision without the digests of keys."""
        request = await self._receive(stream)
        with grpc_errors('ReadConfiguration'):
            if request.HasField('revision'):
                revision = ids.Revision(request.revision)
                content = await self._repository.content_at(revision)
            else:
                content = await self._current()
        await stream.send_message(conversions.from_configuration(content))

    async def ListHistory(
        self, stream: Stream[pb.ListHistoryRequest, pb.ListHistoryResult]
    ) -> None:
        """Return the changes after a revision."""
        request = await self._receive(stream)
        limit = request.limit or DEFAULT_HISTORY_LIMIT
        with grpc_errors('ListHistory'):
            records = await self._repository.history(
                ids.Revision(request.after_revision),
                min(limit, MAX_HISTORY_LIMIT),
            )
        items = [conversions.from_record(record) for record in records]
        await stream.send_message(pb.ListHistoryResult(items=items))

    async def DiffRevisions(
        self, stream: Stream[pb.DiffRevisionsRequest, pb.DiffRevisionsResult]
    ) -> None:
        """Return the fields that differ between two revisions."""
        request = await self._receive(stream)
        with grpc_errors('DiffRevisions'):
            before = await self._repository.content_at(
                ids.Revision(request.from_revision)
            )
            after = await self._repository.content_at(
                ids.Revision(request.to_revision)
            )
        differences = [
            conversions.from_difference(item)
            for item in field_differences(before, after)
        ]
        await stream.send_message(
            pb.DiffRevisionsResult(differences=differences)
        )

    async def WatchSpread(
        self, stream: Stream[pb.WatchSpreadRequest, pb.Spread]
    ) -> None:
        """Stream which entries have a revision in force until all have it."""
        request = await self._receive(stream)
        revision = ids.Revision(
            request.revision or self._service.current().revision
        )
        with grpc_errors('WatchSpread'):
            await self._require_revision(revision)
        last_sent: pb.Spread | None = None
        while last_sent is None or not last_sent.in_force:
            report = await self._service.ask_spread(revision)
            spread = conversions.from_spread(report)
            if spread != last_sent:
                await stream.send_message(spread)
                last_sent = spread
            if not spread.in_force:
                await self._clock.sleep(WATCH_INTERVAL_S)

    async def _require_revision(self, revision: ids.Revision) -> None:
        if revision > self._service.current().revision:
            await self._service.refresh()
        if revision > self._service.current().revision:
            raise RevisionNotKeptError(f'there is no revision {revision}')

    async def _serve_change(
        self, stream: Stream[Any, pb.ChangeResult]
    ) -> None:
        request = await self._receive(stream)
        with grpc_errors(type(request).__name__):
            conversions.check_context(request.context)
            change = conversions.to_change(request)
            outcome = await self._change(
                request.context, change, fingerprint_of(change)
            )
            result = self._result(outcome)
        await stream.send_message(result)

    async def _change(
        self,
        context: pb.ChangeContext,
        change: changes.Change,
        fingerprint: str,
        subject: str = '',
    ) -> ChangeOutcome:
        base_revision = None
        if context.HasField('base_revision'):
            base_revision = ids.Revision(context.base_revision)
        request = ChangeRequest(
            request_id=ids.RequestId(context.request_id),
            fingerprint=fingerprint,
            change=change,
            base_revision=base_revision,
            subject=subject,
        )
        return await self._editor.change(request)

    def _result(self, outcome: ChangeOutcome) -> pb.ChangeResult:
        report = self._service.spread(outcome.revision)
        return pb.ChangeResult(
            revision=outcome.revision,
            repeated=outcome.repeated,
            spread=conversions.from_spread(report),
        )

    async def _current(self) -> Configuration:
        read = await self._repository.read(self._service.current())
        return read.configuration

    async def _receive(self, stream: Stream[Any, Any]) -> Any:
        check_token(stream.metadata or {}, self._token)
        request = await stream.recv_message()
        if request is None:
            raise GRPCError(Status.INVALID_ARGUMENT, 'the request is missing')
        return request
