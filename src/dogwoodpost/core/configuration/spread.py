"""Which entries have a revision in force."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from dogwoodpost.core import ids
from dogwoodpost.core.configuration.freshness import FRESHNESS_TTL_S

if TYPE_CHECKING:
    from collections.abc import Iterable

# Covers a difference in clock rate of 1% between two hosts.
CLOCK_MARGIN_S = FRESHNESS_TTL_S * 0.01

# Revisions whose time is remembered; older ones are in force by then.
MAX_TRACKED_REVISIONS = 256


class SpreadReport(msgspec.Struct, frozen=True, kw_only=True):
    """State of one revision, as one entry sees it."""

    revision: ids.Revision
    in_force: bool
    waiting_for: tuple[ids.ProcessId, ...]
    confirmed: tuple[ids.ProcessId, ...]


class SpreadTracker:
    """Confirmations of revisions by the other entries."""

    def __init__(self) -> None:
        self._confirmed: dict[ids.ProcessId, ids.Revision] = {}
        self._known_s: dict[ids.Revision, float] = {}

    def record_own_revision(
        self, revision: ids.Revision, now_s: float
    ) -> None:
        """Note that a revision is in force at this entry."""
        self._known_s.setdefault(revision, now_s)
        while len(self._known_s) > MAX_TRACKED_REVISIONS:
            del self._known_s[min(self._known_s)]

    def confirm(
        self, process_id: ids.ProcessId, revision: ids.Revision
    ) -> None:
        """Note that another entry has a revision in force."""
        if revision > self._confirmed.get(process_id, 0):
            self._confirmed[process_id] = revision

    def forget(self, keep: Iterable[ids.ProcessId]) -> None:
        """Drop confirmations of entries that no longer exist."""
        kept = frozenset(keep)
        self._confirmed = {
            process_id: revision
            for process_id, revision in self._confirmed.items()
            if process_id in kept
        }

    def unconfirmed_entries(
        self, revision: ids.Revision, entries: Iterable[ids.ProcessId]
    ) -> list[ids.ProcessId]:
        """Return the entries that have not confirmed a revision."""
        return sorted(
            process_id
            for process_id in entries
            if self._confirmed.get(process_id, 0) < revision
        )

    def report(
        self,
        revision: ids.Revision,
        now_s: float,
        *,
        awaited: frozenset[ids.ProcessId] | None,
        scan_start_s: float | None,
        announced: bool,
    ) -> SpreadReport:
        """Return whether a revision is in force at every entry.

        :param awaited: entries whose confirmation is needed.
        :param scan_start_s: start of the scan that ``awaited`` comes from.
        :param announced: whether every entry knows that this one must answer
            before it may find the store to be down; without it an unconfirmed
            entry does not stop serving within the freshness time.
        """
        known_s = self._known_at_s(revision)
        if known_s is None:
            return SpreadReport(
                revision=revision, in_force=False, waiting_for=(), confirmed=()
            )
        behind = self.unconfirmed_entries(revision, awaited or ())
        # An entry registered after this scan reads the store after it.
        is_counted = (
            awaited is not None
            and scan_start_s is not None
            and scan_start_s >= known_s
        )
        waited_s = FRESHNESS_TTL_S + CLOCK_MARGIN_S
        is_waited_out = announced and now_s >= known_s + waited_s
        in_force = is_waited_out or (is_counted and not behind)
        return SpreadReport(
            revision=revision,
            in_force=in_force,
            waiting_for=() if in_force else tuple(behind),
            confirmed=tuple(sorted(frozenset(awaited or ()) - set(behind))),
        )

    def _known_at_s(self, revision: ids.Revision) -> float | None:
        later = [
            known_s
            for known, known_s in self._known_s.items()
            if known >= revision
        ]
        return min(later) if later else None
