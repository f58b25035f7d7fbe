"""Gives batch items of this process their places at endpoints."""

from __future__ import annotations

import asyncio
import uuid
from typing import TYPE_CHECKING

import msgspec

from dogwoodpost.core import ids
from dogwoodpost.core.batches.waiting_items import WaitingItems
from dogwoodpost.core.expiring_keys import ExpiringKeys
from dogwoodpost.core.routing import AttemptResult
from dogwoodpost.core.routing import Endpoint
from dogwoodpost.core.routing import RouteQuery

if TYPE_CHECKING:
    from dogwoodpost.core.batches.placement import ItemPlacement
    from dogwoodpost.core.batches.waiting_items import PlacementRequest
    from dogwoodpost.core.routing import AvailableEndpoint
    from dogwoodpost.core.routing import Router
    from dogwoodpost.core.weights.loading_endpoints import LoadingEndpoints
    from dogwoodpost.ports.clock import Clock

# Places also appear without an event of this process.
_POLL_S = 0.03


class Place(msgspec.Struct, frozen=True):
    """A place at an endpoint for one attempt.

    :param token_count: what the item was expected to take there.
    """

    endpoint: Endpoint
    attempt_id: ids.AttemptId
    token_count: int


class ItemDispatcher:
    """Lets items wait and starts the most urgent ones that fit."""

    def __init__(
        self,
        router: Router,
        placement: ItemPlacement,
        clock: Clock,
        loads: LoadingEndpoints,
    ) -> None:
        self._router = router
        self._placement = placement
        self._clock = clock
        self._loads = loads
        self._waiting = WaitingItems()
        self._futures: dict[int, asyncio.Future[Place]] = {}
        self._blocks: ExpiringKeys[
            tuple[ids.EndpointId, ids.ModelName | None]
        ] = ExpiringKeys()
        self._timer: asyncio.TimerHandle | None = None
        self._is_start_due = False

    async def acquire(self, request: PlacementRequest) -> Place:
        """Wait for a place.

        Items that ask at the same time are compared before any is placed.
        """
        number = self._waiting.add(request)
        future = asyncio.get_running_loop().create_future()
        self._futures[number] = future
        try:
            self._start_soon()
            return await asyncio.shield(future)
        except BaseException:
            if future.done() and not future.cancelled():
                self.release(future.result(), request, judged=False)
            raise
        finally:
            self._waiting.remove(number)
            del self._futures[number]

    def release(
        self,
        place: Place,
        request: PlacementRequest,
        *,
        judged: bool,
        failed: bool = False,
    ) -> None:
        """Give a place back and tell how its endpoint did."""
        endpoint_id = place.endpoint.endpoint_id
        self._placement.token_loads.remove(endpoint_id, place.token_count)
        result = AttemptResult(failed=failed, conclusive=judged)
        self._router.finish(
            request.service,
            endpoint_id,
            place.attempt_id,
            result,
            self._clock.monotonic_s(),
        )
        self._start_ready()

    def block(
        self,
        endpoint_id: ids.EndpointId,
        model: ids.ModelName | None,
        duration_s: float,
    ) -> None:
        """Start no items of a model at an endpoint for a time."""
        until_s = self._clock.monotonic_s() + duration_s
        self._blocks.add((endpoint_id, model), until_s)

    def should_move(self, place: Place, request: PlacementRequest) -> bool:
        """Return whether a running item is better off elsewhere."""
        if self._waiting:
            return False
        now_s = self._clock.monotonic_s()
        candidates = self._candidates(request, now_s, may_probe=False)
        return self._placement.should_move(
            place.endpoint.endpoint_id, candidates, now_s
        )

    def _start_soon(self) -> None:
        """Give out places when the tasks that are ready now have run."""
        if not self._is_start_due:
            self._is_start_due = True
            asyncio.get_running_loop().call_soon(self._start_due)

    def _start_due(self) -> None:
        self._is_start_due = False
        self._start_ready()

    def _start_ready(self) -> None:
        now_s = self._clock.monotonic_s()
        full: set[tuple[object, ...]] = set()
        for number, request in list(self._waiting.by_urgency()):
            need = (
                request.service,
                request.model,
                request.min_version,
                request.avoided_endpoint_ids,
            )
            if need in full:
                continue
            candidates = self._candidates(request, now_s)
            chosen = self._placement.choose(
                _without(candidates, request.interrupted_endpoint_id), now_s
            )
            if chosen is None:
                full.add(need)
                continue
            self._start(number, request, chosen.endpoint, now_s)
        if self._waiting and self._timer is None:
            self._timer = asyncio.get_running_loop().call_later(
                _POLL_S, self._on_timer
            )

    def _start(
        self,
        number: int,
        request: PlacementRequest,
        endpoint: Endpoint,
        now_s: float,
    ) -> None:
        place = Place(
            endpoint,
            ids.AttemptId(uuid.uuid4().hex),
            request.expected_token_count,
        )
        self._placement.token_loads.add(
            endpoint.endpoint_id, place.token_count
        )
        self._router.begin(
            endpoint.endpoint_id,
            place.attempt_id,
            RouteQuery(service=request.service),
            now_s,
        )
        self._waiting.remove(number)
        self._futures[number].set_result(place)

    def _candidates(
        self,
        request: PlacementRequest,
        now_s: float,
        *,
        may_probe: bool = True,
    ) -> list[AvailableEndpoint]:
        excluded = self._blocked(request.model, now_s)
        if now_s < request.avoided_until_s:
            excluded |= request.avoided_endpoint_ids
        query = RouteQuery(
            service=request.service,
            model=request.model,
            min_weight_version=request.min_version,
            excluded=excluded,
            may_probe=may_probe,
        )
        return self._router.available_endpoints(query, now_s)

    def _blocked(
        self, model: ids.ModelName | None, now_s: float
    ) -> frozenset[ids.EndpointId]:
        """Return the endpoints that take no items of a model now."""
        blocked = frozenset(
            endpoint_id
            for endpoint_id, blocked_model in self._blocks.current(now_s)
            if blocked_model == model
        )
        return blocked | self._loads.of_model(model, now_s)

    def _on_timer(self) -> None:
        self._timer = None
        self._start_ready()


def _without(
    candidates: list[AvailableEndpoint], endpoint_id: ids.EndpointId | None
) -> list[AvailableEndpoint]:
    """Return the candidates but for one, all of them if it is the only one."""
    others = [
        one for one in candidates if one.endpoint.endpoint_id != endpoint_id
    ]
    return others or candidates
