"""Builds the shared collaborators of a process's batch jobs."""

from __future__ import annotations

from typing import TYPE_CHECKING

from dogwoodpost.core.batches.endpoint_pace import EndpointEventPace
from dogwoodpost.core.batches.output_lengths import OutputLengths
from dogwoodpost.core.batches.placement import ItemPlacement
from dogwoodpost.platform import header_names
from dogwoodpost.services.batches.batch_context import BatchContext
from dogwoodpost.services.batches.item_dispatcher import ItemDispatcher
from dogwoodpost.services.batches.item_scorer import ItemScorer
from dogwoodpost.services.batches.job_store import JobStore
from dogwoodpost.services.batches.text_archive import TextArchive

if TYPE_CHECKING:
    import random

    from dogwoodpost.core.membership import ProcessIdentity
    from dogwoodpost.core.membership.endpoint_registry import EndpointRegistry
    from dogwoodpost.core.weights.loading_endpoints import LoadingEndpoints
    from dogwoodpost.ports.configuration_source import ConfigurationSource
    from dogwoodpost.ports.endpoint_gateway import EndpointGateway
    from dogwoodpost.ports.object_store import ObjectStore
    from dogwoodpost.ports.row_store import RowStore
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
) -> BatchContext:
    """Build the collaborators that all batch jobs of a process share."""
    clock = pipeline.clock
    pace = EndpointEventPace()
    dispatcher = ItemDispatcher(
        pipeline.router,
        ItemPlacement(pace),
        clock,
        loading_endpoints,
        policy=pipeline.policy,
        metrics=pipeline.metrics,
    )
    configuration.subscribe(lambda _: dispatcher.restart_waiting())
    return BatchContext(
        identity=identity,
        store=JobStore(rows, objects, clock, rng),
        archive=TextArchive(rows),
        gateway=gateway,
        dispatcher=dispatcher,
        pace=pace,
        lengths=OutputLengths(),
        endpoints=registry,
        router=pipeline.router,
        routes=routes,
        scorer=ItemScorer(pipeline, routes, clock, header_names.SIGNATURE),
        clock=clock,
        rng=rng,
        metrics=pipeline.metrics,
        policy=pipeline.policy,
    )
