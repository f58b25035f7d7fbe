"""Log lines and metrics of the runs of one batch item."""

from __future__ import annotations

from typing import TYPE_CHECKING

import structlog

if TYPE_CHECKING:
    from dogwoodpost.core.batches import BatchItem
    from dogwoodpost.core.batches import BatchJob
    from dogwoodpost.errors import EndpointError
    from dogwoodpost.services.batches.batch_context import BatchContext
    from dogwoodpost.services.batches.endpoint_slot import EndpointSlot
    from dogwoodpost.services.batches.run_outcome import RunOutcome

_log = structlog.get_logger(__name__)


class RunReports:
    """Reports what happens to an item while it runs."""

    def __init__(
        self, context: BatchContext, job: BatchJob, item: BatchItem
    ) -> None:
        self._context = context
        self._job = job
        self._item = item
        self._run_count = 0

    def count_run(self) -> None:
        """Record that a request is sent to an endpoint."""
        self._run_count += 1

    def log_restored(
        self, event_count: int, *, is_complete: bool, is_scored: bool
    ) -> None:
        """Log that an item continues with the events of earlier runs."""
        _log.info(
            'item_restored',
            job_id=self._job.job_id,
            item_id=self._item.item_id,
            events=event_count,
            complete=is_complete,
            scored=is_scored,
        )

    def log_errored(
        self, reason: str, *, failure_count: int, event_count: int
    ) -> None:
        """Log that an item is given up."""
        _log.warning(
            'item_errored',
            job_id=self._job.job_id,
            item_id=self._item.item_id,
            reason=reason,
            failures=failure_count,
            events=event_count,
        )

    def log_run(
        self,
        slot: EndpointSlot,
        run_outcome: RunOutcome | None,
        failure: EndpointError | None,
        *,
        start_s: float,
        event_count: int,
        move_fields: dict[str, int],
    ) -> None:
        """Log the end of a run and count it.

        :param run_outcome: None if the run was cancelled.
        :param start_s: when the item got its slot, on the process's clock.
        :param move_fields: further fields of a run that ended with a move.
        """
        duration_s = self._context.clock.monotonic_s() - start_s
        outcome = 'cancelled' if run_outcome is None else run_outcome.value
        self._context.metrics.events.labels(f'item_run_{outcome}').inc()
        self._context.metrics.observe('item_run', duration_s)
        _log.info(
            'item_run',
            job_id=self._job.job_id,
            item_id=self._item.item_id,
            endpoint=slot.endpoint.endpoint_id,
            endpoint_version=slot.endpoint.version_of(self._job.model),
            outcome=outcome,
            detail=str(failure or ''),
            number=self._run_count,
            events=event_count,
            duration_ms=round(duration_s * 1_000),
            wait_ms=round(slot.wait_s * 1_000),
            need=slot.need.value,
            **move_fields,
        )
