"""Client of the administration API for the demo and for tests."""

from __future__ import annotations

import asyncio
import uuid
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING

import msgspec
from grpclib import GRPCError
from grpclib import Status

from dogwoodpost.admin import dogwoodpost_admin_pb2 as pb
from dogwoodpost.admin.client import admin_stub
from dogwoodpost.demo.local_system import MODEL_SERVICE
from dogwoodpost.demo.local_system import PLAIN_SERVICE

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from collections.abc import Awaitable
    from collections.abc import Callable
    from collections.abc import Sequence

    from dogwoodpost.admin.dogwoodpost_admin_grpc import AdminStub


_RETRY_INTERVAL_S = 0.2


class IssuedKey(msgspec.Struct, frozen=True):
    """A key with its secret, which the API returns only once."""

    key_id: str
    key: str


class Administrator:
    """Sets up client accounts, keys, services and routes over gRPC."""

    def __init__(self, stub: AdminStub) -> None:
        self._stub = stub

    async def create_account(self, client_account_id: str) -> IssuedKey:
        """Create a client account and issue its key."""
        request = pb.CreateClientAccountRequest(
            context=_context(), client_account_id=client_account_id
        )
        await _retry_until_available(
            lambda: self._stub.CreateClientAccount(request)
        )
        result = await self._stub.IssueKey(
            pb.IssueKeyRequest(
                context=_context(), client_account_id=client_account_id
            )
        )
        return IssuedKey(result.key_id, result.key)

    async def revoke(self, key_id: str) -> pb.ChangeResult:
        """Revoke a key."""
        return await self._stub.RevokeKey(
            pb.RevokeKeyRequest(context=_context(), key_id=key_id)
        )

    async def wait_in_force(self, revision: int) -> None:
        """Wait until a revision is in force at every entry."""
        async with self._stub.WatchSpread.open() as stream:
            await stream.send_message(
                pb.WatchSpreadRequest(revision=revision), end=True
            )
            async for spread in stream:
                if spread.in_force:
                    return

    async def declare_services(self, client_account_ids: Sequence[str]) -> int:
        """Declare the services and their routes; return the revision."""
        await self._stub.PutService(
            pb.PutServiceRequest(
                context=_context(),
                service=pb.Service(
                    name=MODEL_SERVICE,
                    kind=pb.SERVICE_KIND_ENGINE,
                    model=MODEL_SERVICE,
                ),
            )
        )
        await self._stub.PutService(
            pb.PutServiceRequest(
                context=_context(),
                service=pb.Service(
                    name=PLAIN_SERVICE, kind=pb.SERVICE_KIND_PLAIN
                ),
            )
        )
        await self._stub.PutRoute(
            pb.PutRouteRequest(
                context=_context(),
                route=pb.Route(
                    name='completions',
                    service=MODEL_SERVICE,
                    path_prefix='/v1/',
                    model=MODEL_SERVICE,
                    client_account_ids=client_account_ids,
                ),
            )
        )
        result = await self._stub.PutRoute(
            pb.PutRouteRequest(
                context=_context(),
                route=pb.Route(
                    name='bookings',
                    service=PLAIN_SERVICE,
                    path_prefix='/bookings',
                    idempotent=False,
                    client_account_ids=client_account_ids,
                ),
            )
        )
        return result.revision


async def _retry_until_available(
    call: Callable[[], Awaitable[object]],
) -> None:
    """Retry a call until a newly started entry accepts changes.

    The request id stays the same, so a retry has no second effect.
    """
    while True:
        try:
            await call()
        except GRPCError as error:
            if error.status is not Status.UNAVAILABLE:
                raise
            await asyncio.sleep(_RETRY_INTERVAL_S)
        else:
            return


@asynccontextmanager
async def administrator(port: int) -> AsyncIterator[Administrator]:
    """Open an operator's connection to an entry."""
    async with admin_stub('127.0.0.1', port) as stub:
        yield Administrator(stub)


def _context() -> pb.ChangeContext:
    return pb.ChangeContext(request_id=uuid.uuid4().hex)
