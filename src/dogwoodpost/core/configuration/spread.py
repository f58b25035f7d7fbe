"""Tracks which entries have a revision in force."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from dogwoodpost.core import ids
from dogwoodpost.core.configuration.freshness import FRESHNESS_TTL_S

if TYPE_CHECKING:
    from collections.abc import Iterable

# Allows for a difference of 1% between the clock rates of two hosts.
CLOCK_MARGIN_S = FRESHNESS_TTL_S * 0.01

# Number of revisions whose time is tracked. Older revisions are in force at
# all entries by the time they are dropped.
MAX_TRACKED_REVISIONS = 256


class SpreadReport(msgspec.Struct, frozen=True, kw_only=True):
    """State of one revision, from the view of one entry.

    :param waiting_for: entries whose confirmation is missing.
    :param confirmed: entries that have confirmed the revision.
    """

    revision: ids.Revision
    in_force: bool
    waiting_for: tuple[ids.ProcessId, ...]
    confirmed: tuple[ids.ProcessId, ...]


class SpreadTracker:
    """Tracks confirmations of revisions by the other entries."""

    def __init__(self) -> None:
        self._confirmed: dict[ids.ProcessId, ids.Revision] = {}
        self._applied_s: dict[ids.Revision, float] = {}

    def record_own_revision(
        self, revision: ids.Revision, now_s: float
    ) -> None:
        """Record that a revision is in force at this entry."""
        self._applied_s.setdefault(revision, now_s)
        while len(self._applied_s) > MAX_TRACKED_REVISIONS:
            del self._applied_s[min(self._applied_s)]

    def confirm(
        self, process_id: ids.ProcessId, revision: ids.Revision
    ) -> None:
        """Record that another entry has a revision in force."""
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
        """Report whether a revision is in force at every entry.

        :param awaited: entries that must confirm the revision; None if they
            are not known yet.
        :param scan_start_s: start of the scan that ``awaited`` comes from.
        :param announced: whether every entry knows that this one must answer
            before the store counts as down. Otherwise an entry without the
            revision may serve for longer than the freshness time.
        """
        applied_s = self._applied_at_s(revision)
        if applied_s is None:
            return SpreadReport(
                revision=revision, in_force=False, waiting_for=(), confirmed=()
            )
        behind = self.unconfirmed_entries(revision, awaited or ())
        # An entry that registers after this scan reads the revision from the
        # store.
        is_complete = (
            awaited is not None
            and scan_start_s is not None
            and scan_start_s >= applied_s
        )
        # After this time, an entry without the revision has stopped serving.
        max_serving_s = FRESHNESS_TTL_S + CLOCK_MARGIN_S
        is_previous_expired = announced and now_s >= applied_s + max_serving_s
        in_force = is_previous_expired or (is_complete and not behind)
        return SpreadReport(
            revision=revision,
            in_force=in_force,
            waiting_for=() if in_force else tuple(behind),
            confirmed=tuple(sorted(frozenset(awaited or ()) - set(behind))),
        )

    def _applied_at_s(self, revision: ids.Revision) -> float | None:
        """Return when the revision or a later one came into force here."""
        later = [
            applied_s
            for applied_revision, applied_s in self._applied_s.items()
            if applied_revision >= revision
        ]
        return min(later) if later else None
