"""Queries other entries to keep the configuration fresh in a store outage."""

from __future__ import annotations

import math
import uuid
from typing import TYPE_CHECKING

from dogwoodpost.core.configuration.freshness import Freshness
from dogwoodpost.core.configuration.freshness import FreshnessTracker
from dogwoodpost.core.configuration.freshness import PeerAnswer

if TYPE_CHECKING:
    import random

    from dogwoodpost.core import ids
    from dogwoodpost.core import messages
    from dogwoodpost.ports.clock import Clock
    from dogwoodpost.services.entry.entry_peers import EntryPeers

# Time before freshness expires at which a few entries are queried for a fresh
# read; by then a poll has failed. With a slow store, 100 entries that always
# queried all the others sent 12,000 messages a second.
SAMPLE_QUERY_LEAD_S = 1.5
SAMPLE_QUERY_COUNT = 3
# Time before freshness expires at which all entries are queried, so that all
# answers arrive before it expires.
FULL_QUERY_LEAD_S = 0.75
QUERY_INTERVAL_S = 1.0
# Answers from other regions arrive within a tenth of this time.
ANSWER_TIMEOUT_S = 0.5


class FreshnessQueries:
    """Sends freshness queries and evaluates their answers.

    The queries also announce this entry: an entry that has answered one knows
    that it must query this entry before it concludes that the store is down.
    """

    def __init__(
        self, peers: EntryPeers, clock: Clock, rng: random.Random
    ) -> None:
        self.tracker = FreshnessTracker()
        self._peers = peers
        self._clock = clock
        self._rng = rng
        self._acknowledged_by: set[ids.ProcessId] = set()
        self._is_announced = False
        self._last_query_s = -math.inf
        self._last_full_query_s = -math.inf

    def state(self) -> Freshness:
        """Return whether and why routes that require a key may be served."""
        return self.tracker.state(self._clock.monotonic_s())

    def is_announced(self) -> bool:
        """Return whether every registered live entry knows this entry."""
        return self._is_announced

    def forget_announcement(self) -> None:
        """Require a new announcement because the registration was lost."""
        self._is_announced = False
        self._acknowledged_by.clear()

    async def announce(self, revision: ids.Revision) -> None:
        """Query the entries that have not answered this entry yet."""
        required = self._peers.known_entries.required_to_answer(
            self._clock.monotonic_s()
        )
        missing = required - self._acknowledged_by
        if not missing:
            self._is_announced = True
            return
        await self._peers.query(uuid.uuid4().hex, revision, sorted(missing))

    async def keep_fresh(self, revision: ids.Revision) -> None:
        """Query other entries if freshness is about to expire.

        A few entries are queried first, and all of them shortly before the
        freshness expires.
        """
        now_s = self._clock.monotonic_s()
        remaining_s = self.tracker.valid_until_s() - now_s
        if remaining_s >= SAMPLE_QUERY_LEAD_S:
            return
        required = sorted(self._peers.known_entries.required_to_answer(now_s))
        if remaining_s < FULL_QUERY_LEAD_S:
            if now_s - self._last_full_query_s < QUERY_INTERVAL_S:
                return
            self._last_full_query_s = now_s
            queried = required
        else:
            if now_s - self._last_query_s < QUERY_INTERVAL_S:
                return
            queried = self._rng.sample(
                required, min(SAMPLE_QUERY_COUNT, len(required))
            )
        self._last_query_s = now_s
        query_id = uuid.uuid4().hex
        self.tracker.start_query(
            query_id,
            frozenset(required),
            now_s,
            last_drop_s=self._peers.known_entries.last_drop_s,
        )
        await self._peers.query(query_id, revision, queried)

    def is_query_overdue(self) -> bool:
        """Return whether answers to a query to all entries are overdue."""
        age_s = self._clock.monotonic_s() - self._last_full_query_s
        return bool(self.tracker.unanswered()) and age_s >= ANSWER_TIMEOUT_S

    def record_reply(
        self, reply: messages.FreshnessReply, own_revision: ids.Revision
    ) -> None:
        """Record a reply whose revision records have been applied."""
        self._acknowledged_by.add(reply.sender_id)
        age_s = None if reply.read_age_ms is None else reply.read_age_ms / 1000
        answer = PeerAnswer(
            process_id=reply.sender_id,
            revision=reply.revision,
            read_age_s=age_s,
        )
        self.tracker.record_answer(reply.query_id, answer, own_revision)

    def read_age_ms(self) -> int | None:
        """Return the age of the newest read in ms, rounded up, or None."""
        age_s = self.tracker.read_age_s(self._clock.monotonic_s())
        return None if age_s is None else math.ceil(age_s * 1000)
