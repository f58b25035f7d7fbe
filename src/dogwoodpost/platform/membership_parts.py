"""Builds the services through which processes know of each other."""

from __future__ import annotations

from typing import TYPE_CHECKING

from dogwoodpost.core import ids
from dogwoodpost.core.cold_starts import ColdStartLimiter
from dogwoodpost.platform.datagrams import UdpNetwork
from dogwoodpost.services.membership.load_exchange import LoadExchange
from dogwoodpost.services.membership.presence_service import PresenceService

if TYPE_CHECKING:
    from dogwoodpost.core.membership import ProcessIdentity
    from dogwoodpost.core.membership.peer_states import PeerStates
    from dogwoodpost.platform.endpoint_state import EndpointState
    from dogwoodpost.platform.settings import ProcessSettings
    from dogwoodpost.ports.clock import Clock
    from dogwoodpost.ports.row_store import RowStore
    from dogwoodpost.services.batches.batch_service import BatchService
    from dogwoodpost.services.entry.request_pipeline import RequestPipeline


def compose_presence(
    settings: ProcessSettings,
    identity: ProcessIdentity,
    rows: RowStore,
    endpoints: EndpointState,
    clock: Clock,
) -> PresenceService:
    """Build the service that writes and observes heartbeats.

    From now on, the router limits what it sends to cold endpoints by the
    senders that heartbeats announce.
    """
    router = endpoints.router
    presence = PresenceService(
        identity,
        rows,
        router,
        clock,
        address=settings.listen.get('front', ''),
        peer_address=settings.peer_address,
        availability_zone=ids.AvailabilityZone(settings.zone),
        region=ids.Region(settings.region),
        resources=settings.limits.resources,
        needed_services=router.needed_services,
    )
    router.limit_cold_starts(
        ColdStartLimiter(
            identity.process_id,
            endpoints.cold_tracker,
            presence.senders,
            endpoints.cold_start_of,
            overage=settings.bounds.cold_overage,
        )
    )
    return presence


def compose_load_exchange(
    settings: ProcessSettings,
    identity: ProcessIdentity,
    states: PeerStates,
    presence: PresenceService,
    pipeline: RequestPipeline,
    batches: BatchService,
) -> LoadExchange:
    """Build the service that exchanges loads directly.

    :param states: gets the states of other processes.
    """
    address = settings.datagram_address
    return LoadExchange(
        identity,
        states,
        presence,
        pipeline.router,
        UdpNetwork(address) if address else None,
        pipeline.policy,
        pipeline.clock,
        pipeline.metrics,
        owns_items=lambda: batches.running_count > 0,
        own_demands=batches.own_demands,
    )
