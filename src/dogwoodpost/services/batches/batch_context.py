"""Shared dependencies of the batch job services."""

from __future__ import annotations

from typing import TYPE_CHECKING

from dogwoodpost.core.batches.job_memory import job_memory_bytes
from dogwoodpost.core.batches.started_items import max_started_count

if TYPE_CHECKING:
    import random

    from dogwoodpost.core import ids
    from dogwoodpost.core.allowed_regions import AllowedRegions
    from dogwoodpost.core.batches import BatchJob
    from dogwoodpost.core.batches import JobHead
    from dogwoodpost.core.batches.endpoint_gaps import EndpointGaps
    from dogwoodpost.core.batches.endpoint_pace import EndpointEventPace
    from dogwoodpost.core.batches.move_cost import MoveCost
    from dogwoodpost.core.batches.output_lengths import OutputLengths
    from dogwoodpost.core.membership import ProcessIdentity
    from dogwoodpost.core.membership.endpoint_registry import EndpointRegistry
    from dogwoodpost.core.memory_budget import MemoryBudget
    from dogwoodpost.core.policy import PolicyHolder
    from dogwoodpost.core.routing import Router
    from dogwoodpost.observability import Metrics
    from dogwoodpost.ports.clock import Clock
    from dogwoodpost.ports.endpoint_gateway import EndpointGateway
    from dogwoodpost.services.batches.item_dispatcher import ItemDispatcher
    from dogwoodpost.services.batches.item_scorer import ItemScorer
    from dogwoodpost.services.batches.job_store import JobStore
    from dogwoodpost.services.batches.text_archive import TextArchive
    from dogwoodpost.services.entry.route_finder import RouteFinder


class BatchContext:
    """Dependencies that the batch job services of a process share.

    :param memory: memory for all work of the process.
    """

    def __init__(
        self,
        *,
        identity: ProcessIdentity,
        store: JobStore,
        archive: TextArchive,
        gateway: EndpointGateway,
        dispatcher: ItemDispatcher,
        pace: EndpointEventPace,
        gaps: EndpointGaps,
        move_cost: MoveCost,
        lengths: OutputLengths,
        endpoints: EndpointRegistry,
        router: Router,
        routes: RouteFinder,
        scorer: ItemScorer,
        clock: Clock,
        rng: random.Random,
        metrics: Metrics,
        policy: PolicyHolder,
        memory: MemoryBudget,
    ) -> None:
        self.identity = identity
        self.store = store
        self.archive = archive
        self.gateway = gateway
        self.dispatcher = dispatcher
        self.pace = pace
        self.gaps = gaps
        self.move_cost = move_cost
        self.lengths = lengths
        self.endpoints = endpoints
        self.router = router
        self.routes = routes
        self.scorer = scorer
        self.clock = clock
        self.rng = rng
        self.metrics = metrics
        self.policy = policy
        self.memory = memory

    def head_regions(self, head: JobHead) -> AllowedRegions:
        """Return the regions in which a job may be kept now."""
        return self.routes.allowed_regions(
            head.route_name, head.client_account_id
        )

    def max_started_count(self, route_name: ids.RouteName) -> int:
        """Return how many items of a route's job are started at a time."""
        route = self.routes.configuration.routes.get(route_name)
        services = route.services if route is not None else ()
        return max_started_count(
            sum(self.router.slot_count(service) for service in services)
        )

    def job_memory_bytes(self, job: BatchJob) -> int:
        """Return the memory that a job takes in the process that runs it."""
        return job_memory_bytes(job, self.max_started_count(job.route_name))
