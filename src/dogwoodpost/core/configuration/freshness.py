"""Decides whether the configuration is fresh enough for keyed routes."""

from __future__ import annotations

from enum import Enum

import msgspec

from dogwoodpost.core import ids

# How long a store read, or the conclusion that the store is down, stays valid
# after the read or the query began.
FRESHNESS_TTL_S = 3.0

# If the last store read of an entry is older than this, the poll after that
# read has failed, so the entry counts as unable to reach the store. With the
# limit at FRESHNESS_TTL_S, the store was found to be down only after the reads
# had expired, and keyed routes were refused for up to a second at the start of
# each outage.
MAX_REACHABLE_READ_AGE_S = 1.5


class Freshness(Enum):
    """Whether keyed routes may be served, and why.

    ``FRESH``: the store was read recently. ``STORE_DOWN``: no entry reaches
    the store, so no change can be accepted. ``STALE``: routes that need a key
    must be refused.
    """

    FRESH = 'fresh'
    STORE_DOWN = 'store_down'
    STALE = 'stale'


class PeerAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """Answer of an entry to a freshness query.

    :param read_age_s: age of its newest read of the store, in seconds; None
        if it has never read the store.
    """

    process_id: ids.ProcessId
    revision: ids.Revision
    read_age_s: float | None


class _Query(msgspec.Struct):
    query_id: str
    start_s: float
    required: frozenset[ids.ProcessId]
    unanswered: set[ids.ProcessId]


class FreshnessTracker:
    """Tracks how fresh the configuration of one entry is.

    Times are seconds of the caller's monotonic clock.
    """

    def __init__(self) -> None:
        self._read_start_s: float | None = None
        self._own_read_start_s: float | None = None
        self._store_down_start_s: float | None = None
        self._query: _Query | None = None

    def record_read(self, start_s: float) -> None:
        """Record a read of the store by this entry.

        The revision that was read must be in force here.
        """
        self._own_read_start_s = _latest(self._own_read_start_s, start_s)
        self._read_start_s = _latest(self._read_start_s, start_s)

    def start_query(
        self,
        query_id: str,
        required: frozenset[ids.ProcessId],
        now_s: float,
        *,
        last_drop_s: float | None = None,
    ) -> None:
        """Start a query to the required entries; replaces an open query.

        :param required: entries that must all answer before the store counts
            as down.
        :param last_drop_s: when an entry was last dropped from the required
            entries because its registration was gone. It may have accepted a
            change before that, so the store must have been read since;
            otherwise no query is started.
        """
        if last_drop_s is not None and (
            self._own_read_start_s is None
            or self._own_read_start_s < last_drop_s
        ):
            self._query = None
            return
        self._query = _Query(query_id, now_s, required, set(required))
        self._conclude()

    def record_answer(
        self,
        query_id: str,
        answer: PeerAnswer,
        own_revision: ids.Revision,
    ) -> None:
        """Record an answer to the open query; others are ignored.

        An answer with a higher revision than the one in force here is
        ignored, because it shows that the configuration here is outdated.
        """
        query = self._query
        if query is None or query.query_id != query_id:
            return
        if answer.revision > own_revision:
            return
        age_s = answer.read_age_s
        if age_s is not None and age_s < FRESHNESS_TTL_S:
            # The read began at least this long before the query was sent.
            start_s = query.start_s - age_s
            self._read_start_s = _latest(self._read_start_s, start_s)
        if age_s is not None and age_s < MAX_REACHABLE_READ_AGE_S:
            self._query = None
            return
        query.unanswered.discard(answer.process_id)
        self._conclude()

    def state(self, now_s: float) -> Freshness:
        """Return whether and why keyed routes may be served."""
        if _is_valid(self._read_start_s, now_s):
            return Freshness.FRESH
        if _is_valid(self._store_down_start_s, now_s):
            return Freshness.STORE_DOWN
        return Freshness.STALE

    def valid_until_s(self) -> float:
        """Return when keyed routes must be refused; -inf if never read."""
        starts = [
            start_s
            for start_s in (self._read_start_s, self._store_down_start_s)
            if start_s is not None
        ]
        return max(starts) + FRESHNESS_TTL_S if starts else float('-inf')

    def read_age_s(self, now_s: float) -> float | None:
        """Return the age of the newest read, by this or another entry."""
        if self._read_start_s is None:
            return None
        return now_s - self._read_start_s

    def unanswered(self) -> frozenset[ids.ProcessId]:
        """Return the entries that have not answered the open query."""
        if self._query is None:
            return frozenset()
        return frozenset(self._query.unanswered)

    def _conclude(self) -> None:
        query = self._query
        # An entry that has never read the store has no configuration to serve
        # during an outage.
        if query is None or query.unanswered or self._read_start_s is None:
            return
        self._store_down_start_s = _latest(
            self._store_down_start_s, query.start_s
        )
        self._query = None


def _latest(current_s: float | None, start_s: float) -> float:
    return start_s if current_s is None else max(current_s, start_s)


def _is_valid(start_s: float | None, now_s: float) -> bool:
    return start_s is not None and now_s < start_s + FRESHNESS_TTL_S
