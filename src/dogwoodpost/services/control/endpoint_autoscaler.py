"""Scales the endpoints of one service in one region under its lease."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
import structlog

from dogwoodpost.core import ids
from dogwoodpost.core.decoding import decode_json_row
from dogwoodpost.core.scaling import DailyProfile
from dogwoodpost.core.scaling import Scaler
from dogwoodpost.errors import LeaseLostError
from dogwoodpost.errors import StoreConflictError
from dogwoodpost.ports.table_store import Write

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Collection
    from collections.abc import Mapping
    from collections.abc import Sequence

    from dogwoodpost.core.scaling import ScalingSettings
    from dogwoodpost.core.scaling import ZoneLoad
    from dogwoodpost.ports.clock import Clock
    from dogwoodpost.ports.endpoint_orders import OrderedEndpoint
    from dogwoodpost.ports.lease_guard import LeaseGuard
    from dogwoodpost.ports.table_store import TableStore
    from dogwoodpost.services.control.order_controller import OrderController

_log = structlog.get_logger(__name__)
_Profiles = dict[ids.AvailabilityZone, DailyProfile]


class EndpointAutoscaler:
    """Orders endpoints so that the platform's list has the wanted counts.

    A new autoscaler is created each time the lease is acquired.

    :param own_zones: availability zones of the region; orders are sent only
        for these.
    :param observe: returns the loads of the service in all availability
        zones, including those of other regions.
    """

    # The saved profiles, from which a successor starts, lack at most the
    # observations of this period.
    save_interval_s = 900.0
    # Pause before the next order to an availability zone that refused one.
    refusal_pause_s = 60.0

    def __init__(
        self,
        *,
        shard: ids.ShardName,
        controller: OrderController,
        guard: LeaseGuard,
        store: TableStore,
        clock: Clock,
        settings: ScalingSettings,
        own_zones: Collection[ids.AvailabilityZone],
        observe: Callable[[], Sequence[ZoneLoad]],
    ) -> None:
        self._shard = shard
        self._controller = controller
        self._guard = guard
        self._store = store
        self._clock = clock
        self._settings = settings
        self._own_zones = frozenset(own_zones)
        self._observe = observe
        self._fencing_number = guard.fencing_number()
        self._scaler = Scaler(settings, {})
        self._saved_s = clock.monotonic_s()
        self._save_count = 0
        self._retry_at_s: dict[ids.AvailabilityZone, float] = {}

    async def open(self) -> None:
        """Read the previous holder's orders and load profiles.

        Must be called before any other method.

        :raises StoreError: the store did not answer.
        """
        await self._controller.take_over()
        rows = await self._store.read([self._profile_key])
        if self._profile_key in rows:
            profiles = decode_json_row(
                rows[self._profile_key].value, _Profiles
            )
            self._scaler = Scaler(self._settings, profiles)

    async def run_once(self) -> None:
        """Settle earlier orders, then order starts and stops by the load.

        :raises LeaseLostError: the lease was lost; this autoscaler must not
            be used again.
        :raises PlatformError: the platform did not answer.
        :raises StoreError: the profiles could not be saved.
        """
        listing = await self._controller.reconcile()
        loads = self._observe()
        now_s = self._clock.monotonic_s()
        wall_s = self._clock.wall_s()
        self._scaler.observe(loads, now_s, wall_s)
        current = self._count_current(listing, loads)
        wanted = self._scaler.plan(current, now_s, wall_s)
        if self._controller.accepts_orders:
            await self._stop_surplus(listing, current, wanted)
            await self._start_missing(current, wanted, now_s)
        await self._save_profiles(now_s)

    async def close(self) -> None:
        """Cancel running drains; the next lease holder starts them again."""
        await self._controller.close()

    @property
    def _profile_key(self) -> str:
        return f'scaling/{self._shard}'

    def _count_current(
        self, listing: Sequence[OrderedEndpoint], loads: Sequence[ZoneLoad]
    ) -> dict[ids.AvailabilityZone, int]:
        """Count the endpoints of each availability zone.

        In own zones, these are the listed endpoints that are not to be
        stopped; in zones of other regions, the live endpoints of the load.
        """
        leaving = self._controller.leaving
        current = {
            load.availability_zone: load.live_endpoint_count
            for load in loads
            if load.availability_zone not in self._own_zones
        }
        for zone in self._own_zones:
            current[zone] = sum(
                endpoint.availability_zone == zone
                and endpoint.endpoint_id not in leaving
                for endpoint in listing
            )
        return current

    async def _stop_surplus(
        self,
        listing: Sequence[OrderedEndpoint],
        current: Mapping[ids.AvailabilityZone, int],
        wanted: Mapping[ids.AvailabilityZone, int],
    ) -> None:
        """Stop endpoints that are still starting first, then others.

        Otherwise, the order of the platform's list decides.
        """
        leaving = self._controller.leaving
        for zone in sorted(self._own_zones):
            surplus = current[zone] - wanted.get(zone, current[zone])
            candidates = [
                endpoint
                for endpoint in listing
                if endpoint.availability_zone == zone
                and endpoint.endpoint_id not in leaving
            ]
            candidates.sort(key=lambda endpoint: endpoint.running)
            if surplus > 0:
                _log.info('scaling_down', zone=zone, count=surplus)
                await self._controller.stop(candidates[:surplus])

    async def _start_missing(
        self,
        current: Mapping[ids.AvailabilityZone, int],
        wanted: Mapping[ids.AvailabilityZone, int],
        now_s: float,
    ) -> None:
        missing: list[ids.AvailabilityZone] = []
        for zone in sorted(self._own_zones):
            if now_s >= self._retry_at_s.get(zone, now_s):
                count = wanted.get(zone, 0) - current[zone]
                missing += [zone] * max(0, count)
        if not missing:
            return
        _log.info('scaling_up', zones=missing)
        for zone in await self._controller.start(missing):
            self._retry_at_s[zone] = now_s + self.refusal_pause_s

    async def _save_profiles(self, now_s: float) -> None:
        """Write the profiles once per save interval.

        :raises LeaseLostError: the lease was lost.
        :raises StoreError: the store did not answer.
        """
        if now_s - self._saved_s < self.save_interval_s:
            return
        self._save_count += 1
        operation_id = ids.OperationId(
            f'{self._profile_key}/{self._fencing_number}/{self._save_count}'
        )
        value = msgspec.json.encode(self._scaler.profiles)
        try:
            await self._store.commit(
                operation_id,
                [self._guard.fence_check()],
                [Write(self._profile_key, value)],
            )
        except StoreConflictError as error:
            raise LeaseLostError(
                f'lease {self._shard}: a transaction failed its checks:'
                f' {error}'
            ) from error
        self._saved_s = now_s
