"""Builds the gRPC server of the administration API."""

from __future__ import annotations

from typing import TYPE_CHECKING

from grpclib.health.check import ServiceCheck
from grpclib.health.service import Health
from grpclib.health.service import OVERALL
from grpclib.reflection.service import ServerReflection
from grpclib.server import Server

from dogwoodpost.admin.servicer import AdminServicer
from dogwoodpost.admin.status_details import StatusDetailsCodec

if TYPE_CHECKING:
    from dogwoodpost.ports.clock import Clock
    from dogwoodpost.services.entry.configuration_editor import (
        ConfigurationEditor,
    )
    from dogwoodpost.services.entry.configuration_repository import (
        ConfigurationRepository,
    )
    from dogwoodpost.services.entry.configuration_service import (
        ConfigurationService,
    )

# How long a health result is reused, and timeout of a health check.
HEALTH_CHECK_TTL_S = 1.0


def build_admin_server(
    service: ConfigurationService,
    repository: ConfigurationRepository,
    editor: ConfigurationEditor,
    clock: Clock,
    *,
    token: str | None = None,
) -> Server:
    """Return the server with health and reflection services, not started.

    Health reports SERVING while the entry may accept changes.
    """
    servicer = AdminServicer(service, repository, editor, clock, token=token)

    async def accepts_changes() -> bool:
        return service.accepts_changes()

    check = ServiceCheck(
        accepts_changes,
        check_ttl=HEALTH_CHECK_TTL_S,
        check_timeout=HEALTH_CHECK_TTL_S,
    )
    health = Health({servicer: [check], OVERALL: [check]})
    handlers = ServerReflection.extend([servicer, health])
    return Server(handlers, status_details_codec=StatusDetailsCodec())
