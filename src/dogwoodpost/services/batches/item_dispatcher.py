"""Assigns endpoint slots to the batch items of this process."""

from __future__ import annotations

import asyncio
import uuid
from typing import TYPE_CHECKING

import msgspec

from dogwoodpost.core import ids
from dogwoodpost.core.batches.move_decision import early_decline
from dogwoodpost.core.batches.move_decision import MoveDecision
from dogwoodpost.core.batches.waiting_items import WaitingItems
from dogwoodpost.core.expiring_keys import ExpiringKeys
from dogwoodpost.core.routing import AttemptResult
from dogwoodpost.core.routing import Endpoint
from dogwoodpost.core.routing import RouteQuery

if TYPE_CHECKING:
    from dogwoodpost.core.batches.placement import ItemPlacement
    from dogwoodpost.core.batches.running_item import RunningItem
    from dogwoodpost.core.batches.waiting_items import PlacementRequest
    from dogwoodpost.core.routing import AvailableEndpoint
    from dogwoodpost.core.routing import Router
    from dogwoodpost.core.weights.loading_endpoints import LoadingEndpoints
    from dogwoodpost.ports.clock import Clock

# Capacity also becomes free without an event in this process, so waiting
# items are retried at this interval.
_POLL_INTERVAL_S = 0.03


class EndpointSlot(msgspec.Struct, frozen=True):
    """Capacity of an endpoint that is held for one attempt.

    :param token_count: expected output of the item in tokens, counted in the
        endpoint's token load until the slot is released.
    """

    endpoint: Endpoint
    attempt_id: ids.AttemptId
    token_count: int


class ItemDispatcher:
    """Queues items and gives free endpoint slots to the most urgent ones.

    :param loading_endpoints: endpoints that currently load weights; they get
        no items of the model that they load.
    """

    def __init__(
        self,
        router: Router,
        placement: ItemPlacement,
        clock: Clock,
        loading_endpoints: LoadingEndpoints,
    ) -> None:
        self._router = router
        self._placement = placement
        self._clock = clock
        self._loading_endpoints = loading_endpoints
        self._waiting = WaitingItems()
        self._slot_futures: dict[int, asyncio.Future[EndpointSlot | None]] = {}
        self._blocks: ExpiringKeys[
            tuple[ids.EndpointId, ids.ModelName | None]
        ] = ExpiringKeys()
        self._poll_timer: asyncio.TimerHandle | None = None
        self._is_start_scheduled = False

    async def acquire(self, request: PlacementRequest) -> EndpointSlot | None:
        """Wait for a slot and return it.

        Slots are assigned after all tasks that are ready now have run, so
        that simultaneous requests are compared by urgency first. If the
        caller is cancelled, a slot that was already assigned is released.

        :returns: None if the configuration has changed, which may change the
            requirements of the item.
        """
        request_number = self._waiting.add(request)
        future = asyncio.get_running_loop().create_future()
        self._slot_futures[request_number] = future
        try:
            self._schedule_start()
            return await asyncio.shield(future)
        except BaseException:
            slot = future.result() if _has_result(future) else None
            if slot is not None:
                self.release(slot, request, conclusive=False)
            raise
        finally:
            self._waiting.remove(request_number)
            del self._slot_futures[request_number]

    def restart_waiting(self) -> None:
        """Let all waiting items determine their requirements again."""
        for request_number, _ in list(self._waiting.by_urgency()):
            self._waiting.remove(request_number)
            self._slot_futures[request_number].set_result(None)

    def release(
        self,
        slot: EndpointSlot,
        request: PlacementRequest,
        *,
        conclusive: bool,
        failed: bool = False,
        timed_out: bool = False,
    ) -> None:
        """Release a slot and report the attempt's result to the router.

        :param conclusive: whether the result says anything about the
            endpoint; False for attempts that were cancelled or refused.
        :param failed: whether the endpoint failed.
        :param timed_out: whether it failed by sending nothing in time.
        """
        endpoint_id = slot.endpoint.endpoint_id
        self._placement.token_loads.remove(endpoint_id, slot.token_count)
        result = AttemptResult(
            failed=failed, timed_out=timed_out, conclusive=conclusive
        )
        self._router.finish(
            request.service,
            endpoint_id,
            slot.attempt_id,
            result,
            self._clock.monotonic_s(),
        )
        self._start_waiting_items()

    def block(
        self,
        endpoint_id: ids.EndpointId,
        model: ids.ModelName | None,
        duration_s: float,
    ) -> None:
        """Assign no items of a model to an endpoint for ``duration_s``."""
        until_s = self._clock.monotonic_s() + duration_s
        self._blocks.add((endpoint_id, model), until_s)

    def should_move(
        self, slot: EndpointSlot, request: PlacementRequest
    ) -> bool:
        """Return whether a running item should move to a faster endpoint.

        Items don't move while others wait for a slot.
        """
        if self._waiting:
            return False
        now_s = self._clock.monotonic_s()
        candidates = self._available_endpoints(request, now_s, is_move=True)
        return self._placement.should_move(
            slot.endpoint.endpoint_id, candidates, now_s
        )

    def decide_move(
        self, slot: EndpointSlot, request: PlacementRequest, item: RunningItem
    ) -> MoveDecision:
        """Decide by the expected ends whether a running item moves.

        Items don't move while others wait for a slot.
        """
        declined = early_decline(item, items_wait=bool(self._waiting))
        if declined is not None:
            return MoveDecision(declined)
        now_s = self._clock.monotonic_s()
        candidates = self._available_endpoints(request, now_s, is_move=True)
        return self._placement.decide_move(
            slot.endpoint.endpoint_id, candidates, item, now_s
        )

    def _schedule_start(self) -> None:
        """Assign slots once the tasks that are ready now have run."""
        if not self._is_start_scheduled:
            self._is_start_scheduled = True
            asyncio.get_running_loop().call_soon(self._run_scheduled_start)

    def _run_scheduled_start(self) -> None:
        self._is_start_scheduled = False
        self._start_waiting_items()

    def _start_waiting_items(self) -> None:
        now_s = self._clock.monotonic_s()
        unmet: set[tuple[object, ...]] = set()
        for request_number, request in list(self._waiting.by_urgency()):
            requirements = (
                request.service,
                request.model,
                request.min_version,
                request.avoided_endpoint_ids,
                request.allowed_regions,
            )
            if requirements in unmet:
                continue
            candidates = self._available_endpoints(request, now_s)
            chosen = self._placement.choose(
                _excluding(candidates, request.interrupted_endpoint_id),
                now_s,
                request.expected_event_count,
            )
            if chosen is None:
                unmet.add(requirements)
                continue
            self._start_item(request_number, request, chosen.endpoint, now_s)
        if self._waiting and self._poll_timer is None:
            self._poll_timer = asyncio.get_running_loop().call_later(
                _POLL_INTERVAL_S, self._on_poll_timer
            )

    def _start_item(
        self,
        request_number: int,
        request: PlacementRequest,
        endpoint: Endpoint,
        now_s: float,
    ) -> None:
        slot = EndpointSlot(
            endpoint,
            ids.AttemptId(uuid.uuid4().hex),
            request.expected_token_count,
        )
        self._placement.token_loads.add(endpoint.endpoint_id, slot.token_count)
        self._router.begin(
            endpoint.endpoint_id,
            slot.attempt_id,
            RouteQuery(service=request.service),
            now_s,
        )
        self._waiting.remove(request_number)
        self._slot_futures[request_number].set_result(slot)

    def _available_endpoints(
        self,
        request: PlacementRequest,
        now_s: float,
        *,
        is_move: bool = False,
    ) -> list[AvailableEndpoint]:
        excluded = self._excluded_endpoints(request.model, now_s)
        if now_s < request.avoided_until_s:
            excluded |= request.avoided_endpoint_ids
        query = RouteQuery(
            service=request.service,
            model=request.model,
            min_weight_version=request.min_version,
            excluded=excluded,
            allowed_regions=request.allowed_regions,
            may_probe=not is_move,
            may_use_cold=not is_move,
        )
        return self._router.available_endpoints(query, now_s)

    def _excluded_endpoints(
        self, model: ids.ModelName | None, now_s: float
    ) -> frozenset[ids.EndpointId]:
        """Return endpoints that are blocked for a model or are loading it."""
        blocked = frozenset(
            endpoint_id
            for endpoint_id, blocked_model in self._blocks.current(now_s)
            if blocked_model == model
        )
        return blocked | self._loading_endpoints.of_model(model, now_s)

    def _on_poll_timer(self) -> None:
        self._poll_timer = None
        self._start_waiting_items()


def _has_result(future: asyncio.Future[EndpointSlot | None]) -> bool:
    return future.done() and not future.cancelled()


def _excluding(
    candidates: list[AvailableEndpoint], endpoint_id: ids.EndpointId | None
) -> list[AvailableEndpoint]:
    """Return the candidates at other endpoints, or all if there are none."""
    other_candidates = [
        candidate
        for candidate in candidates
        if candidate.endpoint.endpoint_id != endpoint_id
    ]
    return other_candidates or candidates
