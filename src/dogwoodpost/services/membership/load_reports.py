"""Reports the loads of other processes to the router."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from dogwoodpost.core.membership.load_totals import LoadTotals
from dogwoodpost.core.messages import EndpointLoad

if TYPE_CHECKING:
    from collections.abc import Mapping

    from dogwoodpost.core import ids
    from dogwoodpost.core.membership.peer_states import PeerStates
    from dogwoodpost.core.membership.presence import PresenceRecord
    from dogwoodpost.core.membership.presence import PresenceTracker
    from dogwoodpost.core.routing import Router

# Unchanged loads are reported at this interval too: the router drops old
# reports, and it may have learned of an endpoint since the last one.
_FULL_REPORT_INTERVAL_S = 1.0


class LoadReports:
    """Combines the rows and the directly sent states of other processes.

    Only engines are reported. Requests to plain services end before the next
    heartbeat, so the last reported load would block idle endpoints.
    """

    def __init__(
        self, own_id: ids.ProcessId, view: PresenceTracker, router: Router
    ) -> None:
        self._own_id = own_id
        self._view = view
        self._router = router
        self._states: PeerStates | None = None
        self._totals = LoadTotals()
        self._reported_endpoints: set[ids.EndpointId] = set()
        self._full_report_s = -math.inf

    def use(self, states: PeerStates | None) -> None:
        """Combine rows with these states; None to use rows only."""
        self._states = states
        self._totals = LoadTotals()
        self._full_report_s = -math.inf

    def report_rows(self, now_s: float) -> None:
        """Report the loads after rows have been applied."""
        if self._states is None:
            self._report_all(
                self._view.loads_of_others(self._own_id, now_s), now_s
            )
            return
        self._count_all(self._states, now_s)
        if now_s - self._full_report_s >= _FULL_REPORT_INTERVAL_S:
            self._full_report_s = now_s
            self._totals.take_changed()
            self._report_all(self._totals.totals(), now_s)
        else:
            self._report_changed(now_s)

    def report_process(self, process_id: ids.ProcessId, now_s: float) -> None:
        """Report the loads after the state of one process has changed."""
        record = self._view.last_record(process_id)
        if self._states is None or record is None:
            return
        is_silent = self._view.is_silent(process_id, now_s)
        loads = _loads_of(self._states, process_id, record, is_silent, now_s)
        self._totals.count(process_id, loads)
        if now_s - self._full_report_s >= _FULL_REPORT_INTERVAL_S:
            # No row was read in this time: the store may be unavailable.
            self.report_rows(now_s)
        else:
            self._report_changed(now_s)

    def _count_all(self, states: PeerStates, now_s: float) -> None:
        process_ids = []
        for process_id, record, is_silent in self._view.others(
            self._own_id, now_s
        ):
            process_ids.append(process_id)
            self._totals.count(
                process_id,
                _loads_of(states, process_id, record, is_silent, now_s),
            )
        self._totals.retain(process_ids)

    def _report_all(
        self, others: dict[ids.EndpointId, int], now_s: float
    ) -> None:
        own = self._router.own_loads()
        for endpoint_id in self._reported_endpoints | others.keys():
            count = others.get(endpoint_id, 0) + own.get(endpoint_id, 0)
            self._report(endpoint_id, count, now_s)
        self._reported_endpoints = set(others)

    def _report_changed(self, now_s: float) -> None:
        changed = self._totals.take_changed()
        if not changed:
            return
        own = self._router.own_loads()
        for endpoint_id, others_count in changed.items():
            count = others_count + own.get(endpoint_id, 0)
            self._report(endpoint_id, count, now_s)
        self._reported_endpoints |= changed.keys()

    def _report(
        self, endpoint_id: ids.EndpointId, count: int, now_s: float
    ) -> None:
        if not self._router.is_engine(endpoint_id):
            return
        load = EndpointLoad(
            endpoint_id=endpoint_id, running_count=count, waiting_count=0
        )
        self._router.report_load(load, now_s)


def _loads_of(
    states: PeerStates,
    process_id: ids.ProcessId,
    record: PresenceRecord,
    is_silent: bool,
    now_s: float,
) -> Mapping[ids.EndpointId, int]:
    """Return the loads of a process by the newer of its state and its row.

    A process whose row is silent but whose states arrive still runs items.
    """
    loads = states.newer_loads(process_id, record, now_s)
    if loads is not None:
        return loads
    return {} if is_silent else record.loads
