"""Failed runs of one batch item, by endpoint."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from dogwoodpost.core import ids


class ItemFailures:
    """Decides when an item that keeps failing is given up.

    A faulty endpoint may fail every item while its health check passes, so
    repeated failures at one endpoint count as one. If there are too few other
    endpoints, an item is still given up after one failed run more than its
    attempts. The counts are kept in memory and start at zero in each process
    that takes over the job.

    :param max_attempt_count: number of endpoints at which an item may fail.
    """

    def __init__(self, max_attempt_count: int) -> None:
        self._max_attempt_count = max_attempt_count
        self._endpoint_ids: frozenset[ids.EndpointId] = frozenset()
        self.count = 0

    @property
    def endpoint_ids(self) -> frozenset[ids.EndpointId]:
        """Return the endpoints at which the item failed."""
        return self._endpoint_ids

    @property
    def is_final(self) -> bool:
        """Return whether the item is to be given up."""
        if len(self._endpoint_ids) >= self._max_attempt_count:
            return True
        return self.count > self._max_attempt_count

    def record(self, endpoint_id: ids.EndpointId) -> None:
        """Record a failed run of the item at an endpoint."""
        self.count += 1
        self._endpoint_ids |= {endpoint_id}
