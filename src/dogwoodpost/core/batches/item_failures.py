"""Where one batch item has failed."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from dogwoodpost.core import ids


class ItemFailures:
    """Tells an item that fails everywhere from an endpoint that fails.

    An endpoint may fail all that it runs while its health check is good, so
    failures at the same endpoint count once. Where few endpoints are left to
    try, an item still gets no more than one run beyond its attempts: the
    count starts anew with each process that takes its job over.

    :param max_attempt_count: endpoints at which an item may fail.
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
        """Return whether the item is given up."""
        if len(self._endpoint_ids) >= self._max_attempt_count:
            return True
        return self.count > self._max_attempt_count

    def record(self, endpoint_id: ids.EndpointId) -> None:
        """Note a failed run."""
        self.count += 1
        self._endpoint_ids |= {endpoint_id}
