"""Runs the control work of the shards whose leases this entry holds."""

from __future__ import annotations

import asyncio
from functools import partial
from typing import TYPE_CHECKING

import mode

from dogwoodpost.core import ids
from dogwoodpost.errors import LeaseLostError
from dogwoodpost.services.control.shard_runner import ShardRunner
from dogwoodpost.services.entry.control_shards import configured_shards
from dogwoodpost.services.process import propagate_crash

if TYPE_CHECKING:
    from dogwoodpost.core.configuration import Configuration
    from dogwoodpost.core.configuration import Service
    from dogwoodpost.ports.lease_guard import LeaseGuard
    from dogwoodpost.services.entry.control_context import ControlContext

_RUN_INTERVAL_S = 2.0
# Longer than the term of a lease, so that one call can outlast the lease of a
# failed owner and take it over.
_ACQUIRE_TIMEOUT_S = 12.0
_ACQUIRE_POLL_S = 0.1


class ShardSupervisor(mode.Service):
    """Runs a shard runner for each control shard of the configuration."""

    def __init__(self, context: ControlContext) -> None:
        super().__init__()
        self._context = context
        self._runners: dict[ids.ShardName, ShardRunner] = {}
        self._services: dict[ids.ShardName, Service | None] = {}
        self._changed = asyncio.Event()
        context.configuration.subscribe(lambda _: self._changed.set())

    async def on_stop(self) -> None:
        """Stop all runners; the lease manager releases the leases."""
        for runner in self._runners.values():
            await runner.stop()

    async def acquire_trainer_lease(
        self, trainer_id: ids.TrainerId
    ) -> LeaseGuard:
        """Acquire the lease of a trainer's rollout steps and return its guard.

        After a failure this entry continues to observe the lease. If it
        stopped, each call would restart the wait for the lease to expire, and
        a crashed owner might never be replaced.

        :raises LeaseLostError: another entry holds the lease, or the lease of
            a crashed owner has not expired yet; the caller may retry.
        """
        clock = self._context.clock
        leases = self._context.leases
        shard = ids.ShardName(f'rollout/{trainer_id}')
        guard = leases.guard(shard)
        end_s = clock.monotonic_s() + _ACQUIRE_TIMEOUT_S
        while not guard.is_held():
            if clock.monotonic_s() > end_s:
                raise LeaseLostError(f'lease {shard} was not acquired in time')
            await clock.sleep(_ACQUIRE_POLL_S)
        return guard

    @mode.Service.task
    async def _follow_configuration(self) -> None:
        while not self.should_stop:
            self._changed.clear()
            await self._reconcile(self._context.configuration.current())
            await self.wait(self._changed.wait())

    async def _reconcile(self, configuration: Configuration) -> None:
        """Start, replace or stop runners to match the configuration."""
        desired = {
            shard: (service, open_work)
            for shard, service, open_work in configured_shards(
                self._context, configuration
            )
        }
        for shard in self._runners.keys() - desired.keys():
            await self._runners.pop(shard).stop()
            await self._context.leases.release(shard)
        for shard, (service, open_work) in desired.items():
            if shard in self._runners and self._services[shard] != service:
                await self._runners.pop(shard).stop()
            if shard not in self._runners:
                self._services[shard] = service
                guard = self._context.leases.guard(shard)
                self._runners[shard] = runner = ShardRunner(
                    guard,
                    partial(open_work, guard),
                    self._context.clock,
                    interval_s=_RUN_INTERVAL_S,
                )
                await runner.start()
                self.add_future(propagate_crash(self, runner))
