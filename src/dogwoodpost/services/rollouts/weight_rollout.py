"""Rolls out announced weight versions to the endpoints of one model."""

from __future__ import annotations

import asyncio
from typing import Protocol
from typing import TYPE_CHECKING

import mode
import structlog

from dogwoodpost.core import ids
from dogwoodpost.core.weights import TokenBucket
from dogwoodpost.core.weights import WeightPlan
from dogwoodpost.errors import DogwoodpostError
from dogwoodpost.errors import LeaseLostError
from dogwoodpost.errors import PlatformError
from dogwoodpost.errors import PlatformRateLimitError

if TYPE_CHECKING:
    import random
    from collections.abc import Callable
    from collections.abc import Sequence

    from dogwoodpost.core.messages import EndpointAction
    from dogwoodpost.core.messages import EndpointCommandResult
    from dogwoodpost.core.routing.endpoint import Endpoint
    from dogwoodpost.core.weights import SwapAction
    from dogwoodpost.observability import Metrics
    from dogwoodpost.ports.clock import Clock
    from dogwoodpost.ports.lease_guard import LeaseGuard
    from dogwoodpost.ports.weight_store import WeightStore

_LOG = structlog.get_logger()

POLL_INTERVAL_S = 1.0
PLAN_INTERVAL_S = 0.1


class EndpointCommander(Protocol):
    """Sends orders with a fencing number to endpoints through their agents."""

    async def command(
        self,
        endpoint: Endpoint,
        shard: ids.ShardName,
        fencing_number: ids.FencingNumber,
        action: EndpointAction,
        argument: str,
        fetch_from: tuple[str, ...],
    ) -> EndpointCommandResult:
        """Send an order and return its result.

        :raises DogwoodpostError: the agent cannot be reached.
        """


class WeightRollout(mode.Service):
    """Executes the weight plan of a model under the lease ``weights/{model}``.

    :param endpoints: returns the model's current endpoints.
    :param store_fetches_per_s: rate limit of the weight store.
    """

    def __init__(
        self,
        *,
        model: ids.ModelName,
        store: WeightStore,
        commander: EndpointCommander,
        guard: LeaseGuard,
        endpoints: Callable[[], Sequence[Endpoint]],
        clock: Clock,
        rng: random.Random,
        metrics: Metrics,
        store_fetches_per_s: float = 1.0,
        fan_out: int = 2,
    ) -> None:
        super().__init__()
        self.shard = ids.ShardName(f'weights/{model}')
        self._model = model
        self._store = store
        self._commander = commander
        self._guard = guard
        self._endpoints = endpoints
        self._clock = clock
        self._rng = rng
        self._metrics = metrics
        bucket = TokenBucket(store_fetches_per_s, burst=1.0)
        self._plan = WeightPlan(bucket, fan_out=fan_out)
        self._orders: set[asyncio.Task[None]] = set()

    @property
    def version(self) -> ids.WeightVersion:
        """Return the newest announced version; 0 if none is announced."""
        return self._plan.target or ids.WeightVersion(0)

    def out_of_rotation(self) -> frozenset[ids.EndpointId]:
        """Return the endpoints whose swap to the newest version failed."""
        return self._plan.out_of_rotation()

    def pending(self) -> list[ids.EndpointId]:
        """Return the endpoints that do not serve the newest version yet."""
        return self._plan.pending()

    @mode.Service.task
    async def _poll_loop(self) -> None:
        while not self.should_stop:
            try:
                latest = await self._store.latest_version(self._model)
            except PlatformRateLimitError as error:
                now_s = self._clock.monotonic_s()
                self._plan.block_store_fetches(now_s, error.retry_after_s)
            except PlatformError as error:
                self._metrics.events.labels('weight_store_failed').inc()
                _LOG.warning('weight_store_failed', error=str(error))
            else:
                if latest is not None:
                    self._plan.announce(latest)
            await self._clock.sleep(POLL_INTERVAL_S)

    @mode.Service.task
    async def _plan_loop(self) -> None:
        while not self.should_stop:
            now_s = self._clock.monotonic_s()
            self._plan.set_endpoints(self._endpoints(), now_s)
            for action in self._plan.next_actions(now_s):
                order = asyncio.ensure_future(self._send_order(action))
                self._orders.add(order)
                order.add_done_callback(self._orders.discard)
            await self._clock.sleep(PLAN_INTERVAL_S)

    async def on_stop(self) -> None:
        """Cancel waiting for results; the next lease holder plans again."""
        for order in self._orders:
            order.cancel()
        await asyncio.gather(*self._orders, return_exceptions=True)

    async def _send_order(self, action: SwapAction) -> None:
        accepted = False
        try:
            result = await self._commander.command(
                action.endpoint,
                self.shard,
                self._guard.fencing_number(),
                action.action,
                str(action.version),
                action.fetch_from,
            )
        except LeaseLostError:
            _LOG.info('weight_lease_lost', shard=self.shard)
        except DogwoodpostError as error:
            _LOG.warning('weight_order_failed', error=str(error))
        else:
            accepted = result.accepted
        outcome = 'ok' if accepted else 'failed'
        self._metrics.events.labels(f'{action.action.value}_{outcome}').inc()
        self._plan.record(
            action,
            accepted=accepted,
            now_s=self._clock.monotonic_s(),
            rng=self._rng,
        )
