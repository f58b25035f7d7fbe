"""Orders engines to load the announced weight versions."""

from __future__ import annotations

import asyncio
import itertools
from typing import TYPE_CHECKING

import structlog

from dogwoodpost.core.expiring_keys import ExpiringKeys
from dogwoodpost.core.weights.load_duration import LoadDuration
from dogwoodpost.core.weights.load_duration import POLL_INTERVAL_S
from dogwoodpost.core.weights.staggered_loads import max_parallel_loads
from dogwoodpost.core.weights.staggered_loads import plan_loads
from dogwoodpost.errors import EndpointError
from dogwoodpost.errors import LeaseLostError
from dogwoodpost.ports.endpoint_gateway import OrderOutcome
from dogwoodpost.ports.endpoint_gateway import SwitchMode
from dogwoodpost.ports.endpoint_gateway import VersionOrder
from dogwoodpost.services.background_tasks import BackgroundTasks

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Mapping

    from dogwoodpost.core import ids
    from dogwoodpost.core.membership.endpoint_registry import EndpointRegistry
    from dogwoodpost.core.routing import Endpoint
    from dogwoodpost.observability import Metrics
    from dogwoodpost.ports.clock import Clock
    from dogwoodpost.ports.endpoint_gateway import EndpointGateway
    from dogwoodpost.ports.endpoint_gateway import EngineReport
    from dogwoodpost.ports.lease_guard import LeaseGuard
    from dogwoodpost.services.control.announced_versions import (
        AnnouncedVersions,
    )
    from dogwoodpost.services.control.endpoint_versions import EndpointVersions

_log = structlog.get_logger(__name__)
# The items of a training step arrive together with its version, and an
# endpoint takes none of them while it loads. Endpoints that can serve the step
# therefore load only after its first items have been placed.
_ITEM_PLACEMENT_S = 0.25
# After this time, the items of a step count as started.
_STEP_START_S = 1.0
_LOAD_TIMEOUT_S = 5.0
# Pauses before the next order to the same endpoint.
_BUSY_PAUSE_S = 0.15
_RETRY_PAUSE_S = 0.5
_UNREACHABLE_PAUSE_S = 1.0
_REFUSED_PAUSE_S = 2.0


class WeightLoadController:
    """Loads announced weight versions while this process holds the lease.

    A new controller is created each time the lease is acquired. An order
    carries the number of orders that the engine has accepted before. A repeat
    after a lost answer carries the same number, so that the engine accepts
    only one of them.

    :param switch_mode: returns what happens to running requests when the
        version changes.
    """

    def __init__(
        self,
        *,
        guard: LeaseGuard,
        gateway: EndpointGateway,
        registry: EndpointRegistry,
        versions: EndpointVersions,
        announced_versions: AnnouncedVersions,
        switch_mode: Callable[[], SwitchMode],
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        self._guard = guard
        self._gateway = gateway
        self._registry = registry
        self._versions = versions
        self._announced_versions = announced_versions
        self._switch_mode = switch_mode
        self._clock = clock
        self._metrics = metrics
        self._tasks = BackgroundTasks()
        self._load_duration = LoadDuration()
        self._loading: set[ids.EndpointId] = set()
        self._paused: ExpiringKeys[ids.EndpointId] = ExpiringKeys()

    async def close(self) -> None:
        """Stop following loads; engines still carry out orders sent before."""
        await self._tasks.cancel()

    async def run_once(self) -> None:
        """Start the loads that are due.

        :raises LeaseLostError: the lease was lost.
        """
        self._guard.fencing_number()
        endpoints = [
            candidate
            for candidate in self._registry.endpoints()
            if candidate.weight_versions
        ]
        limit = max_parallel_loads(len(endpoints))
        planned = plan_loads(
            dict(self._announced_versions.items()),
            endpoints,
            self._announced_versions.models_unchanged_for(_STEP_START_S),
        )
        models_with_placed_items = (
            self._announced_versions.models_unchanged_for(_ITEM_PLACEMENT_S)
        )
        for load in planned:
            if len(self._loading) >= limit:
                return
            if (
                load.can_serve_newest_step
                and load.model not in models_with_placed_items
            ):
                continue
            if self._may_load(load.endpoint):
                self._loading.add(load.endpoint.endpoint_id)
                self._tasks.spawn(
                    self._load(load.endpoint, load.model, load.version)
                )

    def _may_load(self, endpoint: Endpoint) -> bool:
        endpoint_id = endpoint.endpoint_id
        if endpoint_id in self._loading:
            return False
        now_s = self._clock.monotonic_s()
        return endpoint_id not in self._paused.current(now_s)

    async def _load(
        self,
        endpoint: Endpoint,
        model: ids.ModelName,
        version: ids.WeightVersion,
    ) -> None:
        try:
            await self._send_order(endpoint, model, version)
        except EndpointError as error:
            _log.info(
                'weight_order_unanswered',
                endpoint=endpoint.endpoint_id,
                model=model,
                version=version,
                error=str(error),
            )
            self._pause(endpoint, _UNREACHABLE_PAUSE_S)
        except LeaseLostError:
            _log.info('weight_order_not_sent', endpoint=endpoint.endpoint_id)
        finally:
            self._loading.discard(endpoint.endpoint_id)

    async def _send_order(
        self,
        endpoint: Endpoint,
        model: ids.ModelName,
        version: ids.WeightVersion,
    ) -> None:
        report = await self._gateway.report(endpoint)
        if await self._publish_if_loaded(endpoint, report, model, version):
            return
        if report.is_busy:
            self._pause(endpoint, _BUSY_PAUSE_S)
            return
        # A slow or unavailable store must not delay the order.
        publish_task = self._tasks.spawn(
            self._publish_loading(endpoint, model)
        )
        order = VersionOrder(
            model=model,
            version=version,
            mode=self._switch_mode(),
            expected_sequence=report.order_sequence,
        )
        outcome = await self._gateway.order(
            endpoint, order, self._guard.fencing_number
        )
        self._metrics.events.labels(f'weight_order_{outcome.value}').inc()
        _log.info(
            'weight_order',
            endpoint=endpoint.endpoint_id,
            model=model,
            version=version,
            previous_version=report.weight_versions.get(model),
            sequence=report.order_sequence,
            outcome=outcome.value,
        )
        # Later writes of the endpoint's row must not be overtaken by this one.
        await asyncio.wait({publish_task})
        if outcome is OrderOutcome.ACCEPTED:
            await self._await_load(endpoint, model, version)
            return
        if outcome is OrderOutcome.ALREADY_DONE:
            await self._publish_version(endpoint, model, version)
            return
        self._pause(
            endpoint,
            _RETRY_PAUSE_S
            if outcome is OrderOutcome.CONFLICT
            else _REFUSED_PAUSE_S,
        )
        await self._publish(endpoint, report.weight_versions)

    async def _await_load(
        self,
        endpoint: Endpoint,
        model: ids.ModelName,
        version: ids.WeightVersion,
    ) -> None:
        """Poll an engine until it has loaded a version or the time is up."""
        start_s = self._clock.monotonic_s()
        await self._clock.sleep(self._load_duration.first_poll_delay_s)
        for poll_count in itertools.count(1):
            report = await self._gateway.report(endpoint)
            duration_s = self._clock.monotonic_s() - start_s
            if await self._publish_if_loaded(endpoint, report, model, version):
                self._load_duration.observe(duration_s, poll_count)
                self._metrics.observe('weight_load', duration_s)
                return
            if duration_s >= _LOAD_TIMEOUT_S:
                break
            await self._clock.sleep(POLL_INTERVAL_S)
        _log.warning(
            'weight_load_slow',
            endpoint=endpoint.endpoint_id,
            model=model,
            version=version,
        )

    async def _publish_if_loaded(
        self,
        endpoint: Endpoint,
        report: EngineReport,
        model: ids.ModelName,
        version: ids.WeightVersion,
    ) -> bool:
        """Return whether a report shows a version; publish it if so."""
        current = report.weight_versions.get(model)
        if current is None or current < version:
            return False
        await self._publish_version(endpoint, model, current)
        return True

    async def _publish_version(
        self,
        endpoint: Endpoint,
        model: ids.ModelName,
        version: ids.WeightVersion,
    ) -> None:
        await self._publish(endpoint, {model: version})

    async def _publish_loading(
        self, endpoint: Endpoint, model: ids.ModelName
    ) -> None:
        """Publish that an endpoint loads a model.

        Other processes then send it no items, which it would refuse.
        """
        await self._publish(endpoint, {}, loading=(model,))

    async def _publish(
        self,
        endpoint: Endpoint,
        versions: Mapping[ids.ModelName, ids.WeightVersion],
        *,
        loading: tuple[ids.ModelName, ...] = (),
    ) -> None:
        registered = self._registry.get(endpoint.endpoint_id) or endpoint
        await self._versions.publish(
            endpoint,
            {**registered.weight_versions, **versions},
            self._clock.monotonic_s(),
            loading=loading,
        )

    def _pause(self, endpoint: Endpoint, duration_s: float) -> None:
        until_s = self._clock.monotonic_s() + duration_s
        self._paused.add(endpoint.endpoint_id, until_s)
