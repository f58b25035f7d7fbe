"""Forwards batch jobs to the preferred owner for their model."""

from __future__ import annotations

from typing import TYPE_CHECKING

import structlog

from dogwoodpost.core.batches.preferred_owner import affinity_key
from dogwoodpost.core.batches.preferred_owner import preferred_owner
from dogwoodpost.core.expiring_keys import ExpiringKeys
from dogwoodpost.core.membership.host_weight import host_weights
from dogwoodpost.core.membership.host_weight import HostResources
from dogwoodpost.ports.job_forwarding import ForwardOutcome

if TYPE_CHECKING:
    from collections.abc import Mapping

    from dogwoodpost.core import ids
    from dogwoodpost.core.allowed_regions import AllowedRegions
    from dogwoodpost.core.batches import BatchJob
    from dogwoodpost.core.membership import ProcessIdentity
    from dogwoodpost.core.membership.presence import PresenceRecord
    from dogwoodpost.core.policy import PolicyHolder
    from dogwoodpost.observability import Metrics
    from dogwoodpost.ports.clock import Clock
    from dogwoodpost.ports.job_forwarding import JobForwardingClient
    from dogwoodpost.ports.job_forwarding import JobSubmission
    from dogwoodpost.services.membership.presence_service import (
        PresenceService,
    )

_log = structlog.get_logger(__name__)
# Longer than a process that is gone remains among the live ones.
_AVOIDANCE_S = 3.0


class JobForwarder:
    """Forwards a client's job at most once, within the availability zone.

    A job is forwarded only if its bodies may be kept in this region.

    Forwarding is idempotent by job id: the process that stores the job first
    runs it, and any other process finds it already stored.
    """

    def __init__(
        self,
        identity: ProcessIdentity,
        presence: PresenceService,
        client: JobForwardingClient,
        clock: Clock,
        metrics: Metrics,
        policy: PolicyHolder,
    ) -> None:
        self._identity = identity
        self._presence = presence
        self._client = client
        self._clock = clock
        self._metrics = metrics
        self._policy = policy
        self._avoided: ExpiringKeys[ids.ProcessId] = ExpiringKeys()

    async def forward(
        self,
        job: BatchJob,
        submission: JobSubmission,
        allowed_regions: AllowedRegions,
    ) -> ForwardOutcome:
        """Forward a job and return whether another process accepted it.

        ``NOT_ACCEPTED`` if this process is the preferred owner or there is no
        candidate.
        """
        zone_records = self._zone_records()
        candidates = self._candidates(zone_records, allowed_regions)
        owner_id = preferred_owner(
            affinity_key(job), self._weights(zone_records, candidates)
        )
        if owner_id is None or owner_id == self._identity.process_id:
            return ForwardOutcome.NOT_ACCEPTED
        outcome = await self._client.submit(
            candidates[owner_id].address, submission
        )
        self._metrics.events.labels(f'job_forward_{outcome.value}').inc()
        _log.info(
            'job_forwarded',
            job_id=job.job_id,
            process=owner_id,
            outcome=outcome.value,
        )
        if outcome is not ForwardOutcome.ACCEPTED:
            until_s = self._clock.monotonic_s() + _AVOIDANCE_S
            self._avoided.add(owner_id, until_s)
        return outcome

    def _zone_records(self) -> dict[ids.ProcessId, PresenceRecord]:
        """Return the live processes of this availability zone."""
        now_s = self._clock.monotonic_s()
        return {
            process_id: record
            for process_id, record in self._presence.view.live(now_s).items()
            if record.availability_zone == self._presence.availability_zone
        }

    def _candidates(
        self,
        zone_records: Mapping[ids.ProcessId, PresenceRecord],
        allowed_regions: AllowedRegions,
    ) -> dict[ids.ProcessId, PresenceRecord]:
        """Return the processes of the availability zone that accept a job."""
        avoided = self._avoided.current(self._clock.monotonic_s())
        return {
            process_id: record
            for process_id, record in zone_records.items()
            if process_id not in avoided
            and allowed_regions.permits(record.region)
            and record.address
        }

    def _weights(
        self,
        zone_records: Mapping[ids.ProcessId, PresenceRecord],
        candidates: Mapping[ids.ProcessId, PresenceRecord],
    ) -> dict[ids.ProcessId, float]:
        """Return the weights of the candidates under the current policy."""
        if not self._policy.current().host_ownership.enabled:
            return {
                process_id: record.cores
                for process_id, record in candidates.items()
            }
        hosts = {
            process_id: HostResources(
                cores=record.cores,
                memory_mb=record.memory_mb,
                descriptor_count=record.descriptor_count,
                link_mbps=record.link_mbps,
            )
            for process_id, record in zone_records.items()
        }
        return host_weights(hosts, candidates)
