"""Sums of the loads of several processes."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Collection
    from collections.abc import Mapping

    from dogwoodpost.core import ids


class LoadTotals:
    """Sums loads by endpoint, and notes which sums have changed.

    The new loads of one process cost as much as its own endpoints, however
    many processes there are.
    """

    def __init__(self) -> None:
        self._counted: dict[ids.ProcessId, Mapping[ids.EndpointId, int]] = {}
        self._totals: dict[ids.EndpointId, int] = {}
        self._changed: set[ids.EndpointId] = set()

    def count(
        self, process_id: ids.ProcessId, loads: Mapping[ids.EndpointId, int]
    ) -> None:
        """Replace the loads of a process."""
        previous = self._counted.get(process_id, {})
        if loads is previous:
            return
        self._counted[process_id] = loads
        for endpoint_id in previous.keys() | loads.keys():
            change = loads.get(endpoint_id, 0) - previous.get(endpoint_id, 0)
            if change:
                self._add(endpoint_id, change)

    def retain(self, process_ids: Collection[ids.ProcessId]) -> None:
        """Drop the loads of all processes but these."""
        for process_id in self._counted.keys() - set(process_ids):
            self.count(process_id, {})
            del self._counted[process_id]

    def totals(self) -> dict[ids.EndpointId, int]:
        """Return all sums above 0."""
        return dict(self._totals)

    def take_changed(self) -> dict[ids.EndpointId, int]:
        """Return the sums that have changed since the last call."""
        changed = {
            endpoint_id: self._totals.get(endpoint_id, 0)
            for endpoint_id in self._changed
        }
        self._changed.clear()
        return changed

    def _add(self, endpoint_id: ids.EndpointId, change: int) -> None:
        total = self._totals.get(endpoint_id, 0) + change
        if total:
            self._totals[endpoint_id] = total
        else:
            self._totals.pop(endpoint_id, None)
        self._changed.add(endpoint_id)
