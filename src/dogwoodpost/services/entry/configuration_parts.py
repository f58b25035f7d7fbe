"""Composes what keeps and changes the configuration at an entry."""

from __future__ import annotations

import socket
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING

import msgspec

from dogwoodpost.admin.server import build_admin_server
from dogwoodpost.config import plain_secret
from dogwoodpost.core import ids
from dogwoodpost.core.configuration.known_entries import EntryRow
from dogwoodpost.core.configuration.known_entries import KnownEntries
from dogwoodpost.services.entry.configuration_editor import ConfigurationEditor
from dogwoodpost.services.entry.configuration_repository import (
    ConfigurationRepository,
)
from dogwoodpost.services.entry.configuration_service import (
    ConfigurationService,
)
from dogwoodpost.services.entry.entry_peers import EntryPeers
from dogwoodpost.services.entry.registration import EntryRegistration

if TYPE_CHECKING:
    import random
    from collections.abc import AsyncIterator

    from dogwoodpost.config import EntrySettings
    from dogwoodpost.core.membership import ProcessIdentity
    from dogwoodpost.ports.clock import Clock
    from dogwoodpost.ports.peer_transport import PeerTransport
    from dogwoodpost.services.entry.platform_clients import PlatformClients


class ConfigurationParts(msgspec.Struct, frozen=True, kw_only=True):
    """The configuration of one entry and its administration."""

    service: ConfigurationService
    registration: EntryRegistration
    repository: ConfigurationRepository
    editor: ConfigurationEditor
    known: KnownEntries


def compose_configuration(
    settings: EntrySettings,
    identity: ProcessIdentity,
    platform: PlatformClients,
    transport: PeerTransport,
    clock: Clock,
    rng: random.Random,
) -> ConfigurationParts:
    """Return the parts; the caller starts them."""
    own = EntryRow(
        process_id=identity.process_id,
        incarnation=identity.incarnation,
        host_id=ids.HostId(settings.host_id),
        region=ids.Region(settings.region),
        availability_zone=ids.AvailabilityZone(settings.availability_zone),
        peer_address=identity.address,
    )
    known = KnownEntries(own.process_id)
    registration = EntryRegistration(
        own, platform.tables, platform.host_list, known, clock, rng
    )
    repository = ConfigurationRepository(
        platform.tables, platform.objects, clock
    )
    peers = EntryPeers(own, known, transport, clock)
    service = ConfigurationService(repository, registration, peers, clock, rng)
    editor = ConfigurationEditor(
        service, repository, clock, rng, process_id=own.process_id
    )
    return ConfigurationParts(
        service=service,
        registration=registration,
        repository=repository,
        editor=editor,
        known=known,
    )


@asynccontextmanager
async def administration(
    parts: ConfigurationParts, settings: EntrySettings, clock: Clock
) -> AsyncIterator[int]:
    """Serve the administration API during the block; yields the port."""
    server = build_admin_server(
        parts.service,
        parts.repository,
        parts.editor,
        clock,
        token=plain_secret(settings.admin.token),
    )
    listen = settings.admin.listen
    # The server takes the socket over and closes it.
    listener = socket.create_server((listen.ip, listen.port))
    bound_port: int = listener.getsockname()[1]
    await server.start(sock=listener)
    try:
        yield bound_port
    finally:
        server.close()
        await server.wait_closed()
