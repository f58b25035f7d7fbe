"""Control work of an entry: the shards whose leases it may hold."""

from __future__ import annotations

from contextlib import asynccontextmanager
from typing import TYPE_CHECKING

from dogwoodpost.core import ids
from dogwoodpost.errors import LeaseLostError
from dogwoodpost.services.composite_service import CompositeService
from dogwoodpost.services.control.shard_runner import ShardRunner
from dogwoodpost.services.control.usage_reporter import UsageReporter

if TYPE_CHECKING:
    import random
    from collections.abc import AsyncIterator

    from dogwoodpost.config import EntrySettings
    from dogwoodpost.observability import Metrics
    from dogwoodpost.ports.clock import Clock
    from dogwoodpost.ports.lease_guard import LeaseGuard
    from dogwoodpost.ports.usage_reports import UsageReports
    from dogwoodpost.services.control.lease_manager import LeaseManager
    from dogwoodpost.services.control.shard_runner import RunOnce
    from dogwoodpost.services.entry.platform_clients import PlatformClients

USAGE_SHARD = ids.ShardName('usage')
_USAGE_INTERVAL_S = 2.0
# Longer than a lease lasts, so that a takeover fits in one call.
_ACQUIRE_TIMEOUT_S = 12.0
_ACQUIRE_POLL_S = 0.1


class ControlParts(CompositeService):
    """Runs the control work under leases."""

    def __init__(
        self,
        *,
        settings: EntrySettings,
        platform: PlatformClients,
        leases: LeaseManager,
        clock: Clock,
        rng: random.Random,
        metrics: Metrics,
    ) -> None:
        super().__init__()
        self._settings = settings
        self._platform = platform
        self._leases = leases
        self._clock = clock
        self._rng = rng
        self._metrics = metrics

    async def open_parts(self) -> None:
        """Start the work of each shard."""
        if self._platform.usage_reports is not None:
            await self._run_usage(self._platform.usage_reports)

    async def acquire_trainer(self, trainer_id: ids.TrainerId) -> LeaseGuard:
        """Return the held lease of a trainer's steps.

        :raises LeaseLostError: another entry holds it.
        """
        shard = ids.ShardName(f'rollout/{trainer_id}')
        guard = self._leases.guard(shard)
        end_s = self._clock.monotonic_s() + _ACQUIRE_TIMEOUT_S
        while not guard.is_held():
            if self._clock.monotonic_s() > end_s:
                await self._leases.release(shard)
                raise LeaseLostError(f'lease {shard} is held elsewhere')
            await self._clock.sleep(_ACQUIRE_POLL_S)
        return guard

    async def _run_usage(self, platform: UsageReports) -> None:
        guard = self._leases.guard(USAGE_SHARD)

        @asynccontextmanager
        async def open_work() -> AsyncIterator[RunOnce]:
            reporter = UsageReporter(
                guard=guard,
                store=self._platform.tables,
                platform=platform,
                clock=self._clock,
                rng=self._rng,
                metrics=self._metrics,
                window_s=self._settings.usage_window_s,
            )
            yield reporter.run_once

        await self.run_part(
            ShardRunner(
                guard, open_work, self._clock, interval_s=_USAGE_INTERVAL_S
            )
        )
