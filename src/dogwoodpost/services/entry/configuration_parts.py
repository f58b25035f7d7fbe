"""Composes the services that read and change an entry's configuration."""

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
    """Services behind the configuration of one entry."""

    service: ConfigurationService
    registration: EntryRegistration
    repository: ConfigurationRepository
    editor: ConfigurationEditor
    known_entries: KnownEntries


def compose_configuration(
    settings: EntrySettings,
    identity: ProcessIdentity,
    platform: PlatformClients,
    transport: PeerTransport,
    clock: Clock,
    rng: random.Random,
) -> ConfigurationParts:
    """Build the parts without starting them."""
    own = EntryRow(
        process_id=identity.process_id,
        incarnation=identity.incarnation,
        host_id=ids.HostId(settings.host_id),
        region=ids.Region(settings.region),
        availability_zone=ids.AvailabilityZone(settings.availability_zone),
        peer_address=identity.address,
    )
    known_entries = KnownEntries(own.process_id)
    registration = EntryRegistration(
        own,
        platform.retrying_tables,
        platform.host_list,
        known_entries,
        clock,
        rng,
    )
    repository = ConfigurationRepository(
        platform.retrying_tables, platform.objects, clock
    )
    peers = EntryPeers(own, known_entries, transport, clock)
    service = ConfigurationService(repository, registration, peers, clock, rng)
    editor = ConfigurationEditor(
        service, repository, clock, rng, process_id=own.process_id
    )
    return ConfigurationParts(
        service=service,
        registration=registration,
        repository=repository,
        editor=editor,
        known_entries=known_entries,
    )


@asynccontextmanager
async def serve_administration(
    parts: ConfigurationParts, settings: EntrySettings, clock: Clock
) -> AsyncIterator[int]:
    """Serve the administration API within the context; yields its port."""
    server = build_admin_server(
        parts.service,
        parts.repository,
        parts.editor,
        clock,
        token=plain_secret(settings.admin.token),
    )
    listen = settings.admin.listen
    # The server owns the socket from here on and closes it.
    listener = socket.create_server((listen.ip, listen.port))
    bound_port: int = listener.getsockname()[1]
    await server.start(sock=listener)
    try:
        yield bound_port
    finally:
        server.close()
        await server.wait_closed()
