"""Assigns endpoint slots to the batch items of this process."""

from __future__ import annotations

import asyncio
import uuid
from typing import TYPE_CHECKING

from dogwoodpost.core import ids
from dogwoodpost.core.batches.move_decision import early_decline
from dogwoodpost.core.batches.move_decision import MoveDecision
from dogwoodpost.core.batches.waiting_items import WaitingItems
from dogwoodpost.core.policy import PolicyHolder
from dogwoodpost.core.routing import AttemptResult
from dogwoodpost.core.routing import RouteQuery
from dogwoodpost.observability import Metrics
from dogwoodpost.services.batches.capacity_shares import CapacityShares
from dogwoodpost.services.batches.capacity_shares import no_peer_demands
from dogwoodpost.services.batches.endpoint_slot import EndpointSlot
from dogwoodpost.services.batches.job_needs import JobNeeds
from dogwoodpost.services.batches.slot_candidates import SlotCandidates
from dogwoodpost.services.batches.trainer_demands import TrainerDemands

if TYPE_CHECKING:
    from collections.abc import Iterator

    from dogwoodpost.core.batches.placement import ItemPlacement
    from dogwoodpost.core.batches.running_item import RunningItem
    from dogwoodpost.core.batches.waiting_items import PlacementRequest
    from dogwoodpost.core.membership.peer_states import ItemDemand
    from dogwoodpost.core.routing import Endpoint
    from dogwoodpost.core.routing import Router
    from dogwoodpost.core.weights.loading_endpoints import LoadingEndpoints
    from dogwoodpost.ports.clock import Clock
    from dogwoodpost.services.batches.capacity_shares import PeerDemands
    from dogwoodpost.services.batches.start_round import StartRound

# Capacity also becomes free without an event in this process, so waiting
# items are retried at this interval.
_POLL_INTERVAL_S = 0.03


class ItemDispatcher:
    """Queues items and gives free endpoint slots to the most urgent ones.

    :param loading_endpoints: endpoints that currently load weights; they get
        no items of the model that they load.
    :param policy: policy in force; by default every mechanism is off.
    :param peer_demands: returns the demands of other processes at a time.
    """

    def __init__(
        self,
        router: Router,
        placement: ItemPlacement,
        clock: Clock,
        loading_endpoints: LoadingEndpoints,
        *,
        policy: PolicyHolder | None = None,
        metrics: Metrics | None = None,
        peer_demands: PeerDemands = no_peer_demands,
    ) -> None:
        self._router = router
        self._placement = placement
        self._clock = clock
        self._candidates = SlotCandidates(router, loading_endpoints)
        self._metrics = metrics or Metrics()
        self.needs = JobNeeds()
        self._demands = TrainerDemands(self.needs)
        self._shares = CapacityShares(
            router,
            self._candidates,
            self._demands,
            policy or PolicyHolder(),
            self._metrics,
            peer_demands,
        )
        self._waiting = WaitingItems()
        self._slot_futures: dict[int, asyncio.Future[EndpointSlot | None]] = {}
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
        self._demands.add_waiting(
            request_number, request, self._clock.monotonic_s()
        )
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
            self._demands.remove_waiting(request_number)
            del self._slot_futures[request_number]

    def restart_waiting(self) -> None:
        """Let all waiting items determine their requirements again."""
        for request_number, _ in list(self._waiting.by_urgency()):
            self._waiting.remove(request_number)
            self._demands.remove_waiting(request_number)
            self._slot_futures[request_number].set_result(None)

    def own_demands(self, now_s: float) -> tuple[ItemDemand, ...]:
        """Return what each trainer runs and waits for at this process."""
        return self._demands.own_demands(now_s)

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
        self._demands.release(request)
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
        self._candidates.block(endpoint_id, model, until_s)

    def should_move(
        self, slot: EndpointSlot, request: PlacementRequest
    ) -> bool:
        """Return whether a running item should move to a faster endpoint.

        Items don't move while others wait for a slot.
        """
        if self._waiting:
            return False
        now_s = self._clock.monotonic_s()
        candidates = self._candidates.available(request, now_s, is_move=True)
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
        candidates = self._candidates.available(request, now_s, is_move=True)
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
        start_round = self._shares.start_round(now_s)
        unmet: set[tuple[object, ...]] = set()
        for request_number, request in self._in_order(start_round):
            requirements = (
                request.service,
                request.model,
                request.min_version,
                request.avoided_endpoint_ids,
                request.allowed_regions,
            )
            if requirements in unmet:
                continue
            if start_round and start_round.is_held(
                request_number, requirements
            ):
                continue
            candidates = self._candidates.preferred(request, now_s)
            if not candidates:
                unmet.add(requirements)
            elif start_round:
                candidates = start_round.open_candidates(
                    request_number, requirements, candidates
                )
            chosen = self._placement.choose(
                candidates, now_s, request.expected_event_count
            )
            if chosen is None:
                continue
            if start_round:
                start_round.note_started(request_number)
            self._start_item(request_number, request, chosen.endpoint, now_s)
        if self._waiting and self._poll_timer is None:
            self._poll_timer = asyncio.get_running_loop().call_later(
                _POLL_INTERVAL_S, self._on_poll_timer
            )

    def _in_order(
        self, start_round: StartRound | None
    ) -> Iterator[tuple[int, PlacementRequest]]:
        if start_round is not None:
            return start_round.items()
        return iter(list(self._waiting.by_urgency()))

    def _start_item(
        self,
        request_number: int,
        request: PlacementRequest,
        endpoint: Endpoint,
        now_s: float,
    ) -> None:
        wait_s, need = self._demands.start(request_number, now_s)
        slot = EndpointSlot(
            endpoint,
            ids.AttemptId(uuid.uuid4().hex),
            request.expected_token_count,
            wait_s,
            need,
        )
        self._metrics.observe('item_wait', wait_s)
        self._placement.token_loads.add(endpoint.endpoint_id, slot.token_count)
        self._router.begin(
            endpoint.endpoint_id,
            slot.attempt_id,
            RouteQuery(service=request.service),
            now_s,
        )
        self._waiting.remove(request_number)
        self._slot_futures[request_number].set_result(slot)

    def _on_poll_timer(self) -> None:
        self._poll_timer = None
        self._start_waiting_items()


def _has_result(future: asyncio.Future[EndpointSlot | None]) -> bool:
    return future.done() and not future.cancelled()
