"""Dependencies shared by all control work of an entry."""

from __future__ import annotations

import random

import msgspec

from dogwoodpost.config import EntrySettings
from dogwoodpost.core.admission import Admission
from dogwoodpost.observability import Metrics
from dogwoodpost.ports.clock import Clock
from dogwoodpost.ports.configuration_source import ConfigurationSource
from dogwoodpost.services.control.lease_manager import LeaseManager
from dogwoodpost.services.entry.platform_clients import PlatformClients
from dogwoodpost.services.entry.routing_parts import RoutingParts


class ControlContext(msgspec.Struct, frozen=True, kw_only=True):
    """Clients, leases and state that the work of every control shard needs."""

    settings: EntrySettings
    platform: PlatformClients
    leases: LeaseManager
    routing: RoutingParts
    admission: Admission
    configuration: ConfigurationSource
    clock: Clock
    rng: random.Random
    metrics: Metrics
