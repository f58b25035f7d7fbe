"""Builds the components through which an entry reaches endpoints."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from dogwoodpost.core import ids
from dogwoodpost.core.routing.router import Router
from dogwoodpost.services.control.zone_loads import ZoneLoads
from dogwoodpost.services.entry.agent_directory import AgentDirectory
from dogwoodpost.services.entry.endpoint_commander import EndpointCommander
from dogwoodpost.services.entry.endpoint_listeners import EndpointListeners
from dogwoodpost.services.entry.fleet import Fleet
from dogwoodpost.services.entry.peer_attempt_runner import PeerAttemptRunner
from dogwoodpost.services.entry.peer_service import PeerService

if TYPE_CHECKING:
    import random

    from dogwoodpost.config import EntrySettings
    from dogwoodpost.core.membership import ProcessIdentity
    from dogwoodpost.ports.clock import Clock
    from dogwoodpost.ports.peer_transport import PeerTransport
    from dogwoodpost.services.control.lease_manager import LeaseManager
    from dogwoodpost.services.entry.configuration_service import (
        ConfigurationService,
    )


class RoutingParts(msgspec.Struct, frozen=True, kw_only=True):
    """The endpoints that an entry knows of, and the services that call them.

    :param router: chooses endpoints for attempts.
    :param zone_loads: loads of the endpoints, by availability zone.
    :param runner: runs attempts through agents.
    :param commander: sends commands for endpoints to their agents.
    :param peers: exchanges messages with agents.
    :param fleet: the endpoints together with the configuration.
    """

    router: Router
    zone_loads: ZoneLoads
    runner: PeerAttemptRunner
    commander: EndpointCommander
    peers: PeerService
    fleet: Fleet


def compose_routing(
    settings: EntrySettings,
    identity: ProcessIdentity,
    transport: PeerTransport,
    configuration: ConfigurationService,
    leases: LeaseManager,
    clock: Clock,
    rng: random.Random,
) -> RoutingParts:
    """Build the components; the caller has to start the peer service."""
    router = Router(
        ids.AvailabilityZone(settings.availability_zone),
        ids.Region(settings.region),
        rng,
    )
    zone_loads = ZoneLoads()
    directory = AgentDirectory(EndpointListeners(router, zone_loads))
    runner = PeerAttemptRunner(identity, transport, directory, clock)
    commander = EndpointCommander(identity, transport)
    peers = PeerService(
        identity,
        transport,
        clock,
        directory,
        runner,
        commander,
        revision=lambda: configuration.current().revision,
        fencing_numbers=leases.fencing_numbers,
        handle_entry_message=configuration.handle,
    )
    return RoutingParts(
        router=router,
        zone_loads=zone_loads,
        runner=runner,
        commander=commander,
        peers=peers,
        fleet=Fleet(directory, configuration),
    )
