"""Announcement of processes that may send to cold endpoints."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Collection

    from dogwoodpost.core import ids
    from dogwoodpost.core.membership.presence import PresenceTracker

# A sender knows all rows that are older than this.
MAX_READ_AGE_S = 1.5
# A sender has announced itself for longer than the rows of any other sender
# may be old, with a second for slow answers of the store.
MIN_ANNOUNCED_S = MAX_READ_AGE_S + 1.0
# Others count a process as silent a second after this, when its last sends are
# over a second old; see HEARTBEAT_TIMEOUT_S of the presence service.
MAX_HEARTBEAT_AGE_S = 1.6
_MAX_HEARTBEAT_GAP_S = 2.2


class AnnouncedSenders:
    """Tells which processes may send to cold endpoints of a service.

    A process announces its services in its heartbeat row and sends once the
    row has been there for a while, its own heartbeats are recent, and it has
    read the rows a moment ago. So any two processes that send at a time know
    each other. Times are seconds of the process's monotonic clock.
    """

    def __init__(
        self, process_id: ids.ProcessId, view: PresenceTracker
    ) -> None:
        self._process_id = process_id
        self._view = view
        self._announced_s: dict[ids.ServiceName, float] = {}
        self._heartbeat_s: float | None = None
        self._cached_for: tuple[ids.ServiceName, float] | None = None
        self._cached_ids: frozenset[ids.ProcessId] = frozenset()

    def begin_heartbeat(self, services: Collection[ids.ServiceName]) -> None:
        """Record that a heartbeat with these services is being written.

        This process stops sending to all others before the row tells so.
        """
        for service in self._announced_s.keys() - set(services):
            del self._announced_s[service]

    def note_heartbeat(
        self,
        services: Collection[ids.ServiceName],
        sent_s: float,
        now_s: float,
    ) -> None:
        """Record a heartbeat that the store has confirmed.

        :param sent_s: time before the heartbeat was sent.
        """
        last_s = self._heartbeat_s
        self._heartbeat_s = sent_s
        if last_s is None or now_s - last_s > _MAX_HEARTBEAT_GAP_S:
            self._announced_s.clear()
        for service in services:
            self._announced_s.setdefault(service, now_s)

    def stop(self) -> None:
        """Stop sending; the row will tell that this process leaves."""
        self._heartbeat_s = None
        self._announced_s.clear()

    def senders(
        self, service: ids.ServiceName, now_s: float
    ) -> Collection[ids.ProcessId]:
        """Return the known senders, empty if this process may not send."""
        announced_s = self._announced_s.get(service)
        if announced_s is None or now_s - announced_s < MIN_ANNOUNCED_S:
            return ()
        heartbeat_s = self._heartbeat_s
        if heartbeat_s is None or now_s - heartbeat_s > MAX_HEARTBEAT_AGE_S:
            return ()
        if self._view.read_age_s(now_s) > MAX_READ_AGE_S:
            return ()
        # One decision asks for each of many endpoints.
        if (service, now_s) != self._cached_for:
            self._cached_for = (service, now_s)
            self._cached_ids = frozenset(
                {*self._view.senders(service, now_s), self._process_id}
            )
        return self._cached_ids
