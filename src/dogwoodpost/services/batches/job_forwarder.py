"""Gives batch jobs to the process that runs those of their model."""

from __future__ import annotations

from typing import TYPE_CHECKING

import structlog

from dogwoodpost.core.batches.preferred_owner import affinity_key
from dogwoodpost.core.batches.preferred_owner import preferred_owner
from dogwoodpost.core.expiring_keys import ExpiringKeys
from dogwoodpost.ports.job_forwarding import ForwardOutcome

if TYPE_CHECKING:
    from dogwoodpost.core import ids
    from dogwoodpost.core.batches import BatchJob
    from dogwoodpost.core.membership import ProcessIdentity
    from dogwoodpost.core.membership.presence import PresenceRecord
    from dogwoodpost.observability import Metrics
    from dogwoodpost.ports.clock import Clock
    from dogwoodpost.ports.job_forwarding import JobForwardingClient
    from dogwoodpost.ports.job_forwarding import JobSubmission
    from dogwoodpost.services.membership.presence_service import (
        PresenceService,
    )

_log = structlog.get_logger(__name__)
# By then a process that is gone is no longer among the live ones.
_AVOID_S = 3.0


class JobForwarder:
    """Passes a client's job on once, to a process in the same zone.

    The job's id makes it safe: whichever process stores it first runs it, and
    the other one finds it stored.
    """

    def __init__(
        self,
        identity: ProcessIdentity,
        presence: PresenceService,
        client: JobForwardingClient,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        self._identity = identity
        self._presence = presence
        self._client = client
        self._clock = clock
        self._metrics = metrics
        self._avoided: ExpiringKeys[ids.ProcessId] = ExpiringKeys()

    async def forward(
        self, job: BatchJob, submission: JobSubmission
    ) -> ForwardOutcome:
        """Return whether another process has accepted a job."""
        candidates = self._candidates()
        owner_id = preferred_owner(
            affinity_key(job),
            {one: record.cores for one, record in candidates.items()},
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
            until_s = self._clock.monotonic_s() + _AVOID_S
            self._avoided.add(owner_id, until_s)
        return outcome

    def _candidates(self) -> dict[ids.ProcessId, PresenceRecord]:
        """Return the processes of the own zone that take jobs."""
        now_s = self._clock.monotonic_s()
        avoided = self._avoided.current(now_s)
        return {
            process_id: record
            for process_id, record in self._presence.view.live(now_s).items()
            if process_id not in avoided
            and record.availability_zone == self._presence.availability_zone
            and record.address
        }
