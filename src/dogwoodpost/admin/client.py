"""Client side of the administration API."""

from __future__ import annotations

from contextlib import asynccontextmanager
from typing import TYPE_CHECKING

from grpclib.client import Channel
from grpclib.encoding.proto import ProtoCodec

from dogwoodpost.admin.authorization import METADATA_KEY
from dogwoodpost.admin.dogwoodpost_admin_grpc import AdminStub
from dogwoodpost.admin.status_details import StatusDetailsCodec

if TYPE_CHECKING:
    from collections.abc import AsyncIterator


@asynccontextmanager
async def admin_stub(host: str, port: int) -> AsyncIterator[AdminStub]:
    """Open a connection to the administration API of an entry."""
    channel = Channel(
        host,
        port,
        codec=ProtoCodec(),
        status_details_codec=StatusDetailsCodec(),
    )
    async with channel:
        yield AdminStub(channel)


def call_metadata(token: str | None) -> dict[str, str]:
    """Return the metadata that carries the token, if any."""
    return {} if token is None else {METADATA_KEY: f'Bearer {token}'}
