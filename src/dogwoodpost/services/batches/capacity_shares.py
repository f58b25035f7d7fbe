"""Shares of the engines between trainers, as one process applies them."""

from __future__ import annotations

from typing import TYPE_CHECKING

import structlog

from dogwoodpost.core.batches.service_shares import ServiceShares
from dogwoodpost.core.batches.unused_offers import UnusedOffers
from dogwoodpost.core.expiring_keys import ExpiringKeys
from dogwoodpost.core.routing import Health
from dogwoodpost.services.batches.start_round import StartRound

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable
    from collections.abc import Mapping

    from dogwoodpost.core import ids
    from dogwoodpost.core.batches.start_order import Claims
    from dogwoodpost.core.batches.start_order import WaitingItem
    from dogwoodpost.core.batches.start_order import YieldReason
    from dogwoodpost.core.batches.trainer import Trainer
    from dogwoodpost.core.membership.peer_states import PeerDemand
    from dogwoodpost.core.policy import PolicyHolder
    from dogwoodpost.core.routing import AvailableEndpoint
    from dogwoodpost.core.routing import Endpoint
    from dogwoodpost.core.routing import Router
    from dogwoodpost.observability import Metrics
    from dogwoodpost.services.batches.slot_candidates import SlotCandidates
    from dogwoodpost.services.batches.trainer_demands import TrainerDemands

    PeerDemands = Callable[[float], list[PeerDemand]]

_log = structlog.get_logger(__name__)
_LOG_INTERVAL_S = 1.0


def no_peer_demands(now_s: float) -> list[PeerDemand]:
    """Return no demands, for a process without an exchange."""
    return []


class CapacityShares:
    """Prepares the rounds of starts while the policy is on.

    :param demands: what this process runs and waits for.
    :param peer_demands: returns the demands of other processes at a time.
    """

    def __init__(
        self,
        router: Router,
        candidates: SlotCandidates,
        demands: TrainerDemands,
        policy: PolicyHolder,
        metrics: Metrics,
        peer_demands: PeerDemands,
    ) -> None:
        self._router = router
        self._candidates = candidates
        self._demands = demands
        self._policy = policy
        self._metrics = metrics
        self._peer_demands = peer_demands
        self._unused_offers = UnusedOffers()
        self._recent_logs: ExpiringKeys[tuple[ids.JobId, YieldReason]] = (
            ExpiringKeys()
        )

    def start_round(self, now_s: float) -> StartRound | None:
        """Return a round, None while the policy is off or no item waits."""
        policy = self._policy.current().capacity_shares
        if not policy.enabled or not self._demands.items:
            return None
        self._demands.update_needs(now_s)
        unused_ids = self._unused_offers.unused_ids(now_s)
        excluded: dict[Trainer, frozenset[ids.EndpointId]] = {}

        def could_use(trainer: Trainer, endpoint: Endpoint) -> bool:
            if trainer not in excluded:
                excluded[trainer] = unused_ids | self._candidates.excluded_ids(
                    trainer.model, now_s
                )
            endpoint_id = endpoint.endpoint_id
            if endpoint_id in excluded[trainer]:
                return False
            if self._router.health(endpoint_id, now_s) is not Health.HEALTHY:
                # One item tries the endpoint; nobody waits for its slots.
                return False
            if not endpoint.weight_versions and not endpoint.weight_version:
                # The endpoint reports no versions.
                return True
            version = endpoint.version_of(trainer.model)
            return self._demands.may_accept(trainer, version)

        def on_offer(candidates: Iterable[AvailableEndpoint]) -> None:
            own_loads = self._router.own_loads()
            for candidate in candidates:
                endpoint_id = candidate.endpoint.endpoint_id
                own_count = own_loads.get(endpoint_id, 0)
                self._unused_offers.note_offered(
                    endpoint_id, candidate.load_count - own_count, now_s
                )

        return StartRound(
            self._demands.items,
            self._service_shares(policy.weights, now_s),
            could_use,
            on_offer,
            self._on_yield,
            now_s,
        )

    def _service_shares(
        self, weights: Mapping[str, float], now_s: float
    ) -> dict[ids.ServiceName, ServiceShares]:
        """Return the shares of each service for which items wait."""
        peers = self._peer_demands(now_s)
        services = {
            item.trainer.service for item in self._demands.items.values()
        }
        return {
            service: ServiceShares(
                service,
                self._router.slot_count(service),
                self._demands.running,
                self._demands.waiting,
                peers,
                weights,
            )
            for service in services
        }

    def _on_yield(
        self,
        item: WaitingItem,
        claims: Claims,
        shares: ServiceShares,
        now_s: float,
    ) -> None:
        """Count an item that yields for the first time, and log some."""
        reason = claims.reason
        self._metrics.events.labels(f'item_yielded_{reason.value}').inc()
        job_id = item.request.job_id
        if (job_id, reason) in self._recent_logs.current(now_s):
            return
        self._recent_logs.add((job_id, reason), now_s + _LOG_INTERVAL_S)
        _log.info(
            'item_waits_for_share',
            job_id=job_id,
            model=item.trainer.model,
            reason=reason.value,
            running=shares.running_count(item.trainer),
            share=round(shares.share(item.trainer), 1),
            yields_to=sorted(
                f'{trainer.client_account_id}/{trainer.model}'
                for trainer in claims.slot_counts
            ),
        )
