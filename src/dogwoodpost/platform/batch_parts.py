"""Builds the shared collaborators of a process's batch jobs."""

from __future__ import annotations

from typing import TYPE_CHECKING

from dogwoodpost.core.batches.endpoint_gaps import EndpointGaps
from dogwoodpost.core.batches.endpoint_pace import EndpointEventPace
from dogwoodpost.core.batches.move_cost import MoveCost
from dogwoodpost.core.batches.output_lengths import OutputLengths
from dogwoodpost.core.batches.placement import ItemPlacement
from dogwoodpost.platform import header_names
from dogwoodpost.services.batches.batch_context import BatchContext
from dogwoodpost.services.batches.item_dispatcher import ItemDispatcher
from dogwoodpost.services.batches.item_scorer import ItemScorer
from dogwoodpost.services.batches.job_store import JobStore
from dogwoodpost.services.batches.scoring_queue import ScoringQueue
from dogwoodpost.services.batches.text_archive import TextArchive

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from dogwoodpost.core.membership import ProcessIdentity
    from dogwoodpost.core.membership.endpoint_registry import EndpointRegistry
    from dogwoodpost.core.memory_budget import MemoryBudget
    from dogwoodpost.core.weights.loading_endpoints import LoadingEndpoints
    from dogwoodpost.ports.configuration_source import ConfigurationSource
    from dogwoodpost.ports.endpoint_gateway import EndpointGateway
    from dogwoodpost.ports.object_store import ObjectStore
    from dogwoodpost.ports.row_store import RowStore
    from dogwoodpost.services.batches.capacity_shares import PeerDemands
    from dogwoodpost.services.entry.request_pipeline import RequestPipeline
    from dogwoodpost.services.entry.route_finder import RouteFinder


def build_batch_context(
    *,
    identity: ProcessIdentity,
    rows: RowStore,
    objects: ObjectStore,
    gateway: EndpointGateway,
    pipeline: RequestPipeline,
    routes: RouteFinder,
    configuration: ConfigurationSource,
    registry: EndpointRegistry,
    loading_endpoints: LoadingEndpoints,
    rng: random.Random,
    owner_count: Callable[[], int],
    peer_demands: PeerDemands,
    memory: MemoryBudget,
) -> BatchContext:
    """Build the collaborators that all batch jobs of a process share.

    :param owner_count: returns the number of processes that own batch items.
    :param peer_demands: returns the demands of other processes at a time.
    :param memory: memory for all work of the process.
    """
    clock = pipeline.clock
    pace = EndpointEventPace()
    gaps = EndpointGaps()
    dispatcher = ItemDispatcher(
        pipeline.router,
        ItemPlacement(pace, gaps=gaps),
        clock,
        loading_endpoints,
        policy=pipeline.policy,
        metrics=pipeline.metrics,
        peer_demands=peer_demands,
    )
    configuration.subscribe(lambda _: dispatcher.restart_waiting())
    return BatchContext(
        identity=identity,
        store=JobStore(rows, objects, clock, rng),
        archive=TextArchive(rows),
        gateway=gateway,
        dispatcher=dispatcher,
        pace=pace,
        gaps=gaps,
        move_cost=MoveCost(),
        lengths=OutputLengths(),
        endpoints=registry,
        router=pipeline.router,
        routes=routes,
        scorer=ItemScorer(
            pipeline,
            routes,
            clock,
            header_names.SIGNATURE,
            ScoringQueue(pipeline, owner_count),
        ),
        clock=clock,
        rng=rng,
        metrics=pipeline.metrics,
        policy=pipeline.policy,
        memory=memory,
    )
