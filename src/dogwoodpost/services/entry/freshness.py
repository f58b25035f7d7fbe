"""Asks the other entries when the store cannot be read."""

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

# A poll has failed by then. A few entries are asked for a fresh read first:
# with a slow store, 100 entries that always asked all the others sent 12,000
# messages a second.
ASK_SOME_AHEAD_S = 1.5
ASKED_COUNT = 3
# Early enough for all answers to come before freshness expires.
ASK_ALL_AHEAD_S = 0.75
QUERY_INTERVAL_S = 1.0
# Answers between regions come within a tenth of this.
ANSWER_TIME_S = 0.5


class FreshnessQueries:
    """Keeps the configuration fresh through other entries.

    It also makes this entry known: an entry that has answered one of the
    queries knows that it must ask this one before it finds the store down.
    """

    def __init__(
        self, peers: EntryPeers, clock: Clock, rng: random.Random
    ) -> None:
        self.tracker = FreshnessTracker()
        self._peers = peers
        self._clock = clock
        self._rng = rng
        self._known_by: set[ids.ProcessId] = set()
        self._is_announced = False
        self._last_query_s = -math.inf
        self._last_full_query_s = -math.inf

    def state(self) -> Freshness:
        """Return whether and why keyed routes may be served."""
        return self.tracker.state(self._clock.monotonic_s())

    def is_announced(self) -> bool:
        """Return whether every registered live entry knows this one."""
        return self._is_announced

    def forget_announcement(self) -> None:
        """Start over, after the own registration was lost."""
        self._is_announced = False
        self._known_by.clear()

    async def announce(self, revision: ids.Revision) -> None:
        """Ask the entries that do not know this one yet."""
        required = self._peers.known.required(self._clock.monotonic_s())
        missing = required - self._known_by
        if not missing:
            self._is_announced = True
            return
        await self._peers.query(uuid.uuid4().hex, revision, sorted(missing))

    async def keep_fresh(self, revision: ids.Revision) -> None:
        """Ask other entries if freshness is about to expire."""
        now_s = self._clock.monotonic_s()
        remaining_s = self.tracker.valid_until_s() - now_s
        if remaining_s >= ASK_SOME_AHEAD_S:
            return
        required = sorted(self._peers.known.required(now_s))
        if remaining_s < ASK_ALL_AHEAD_S:
            if now_s - self._last_full_query_s < QUERY_INTERVAL_S:
                return
            self._last_full_query_s = now_s
            asked = required
        else:
            if now_s - self._last_query_s < QUERY_INTERVAL_S:
                return
            asked = self._rng.sample(required, min(ASKED_COUNT, len(required)))
        self._last_query_s = now_s
        query_id = uuid.uuid4().hex
        self.tracker.start_query(
            query_id,
            frozenset(required),
            now_s,
            last_drop_s=self._peers.known.last_drop_s,
        )
        await self._peers.query(query_id, revision, asked)

    def is_unanswered(self) -> bool:
        """Return whether a query to all has not been answered by all."""
        age_s = self._clock.monotonic_s() - self._last_full_query_s
        return bool(self.tracker.unanswered()) and age_s >= ANSWER_TIME_S

    def record_reply(
        self, reply: messages.FreshnessReply, own_revision: ids.Revision
    ) -> None:
        """Take a reply, after its records were applied."""
        self._known_by.add(reply.sender_id)
        age_s = None if reply.read_age_ms is None else reply.read_age_ms / 1000
        answer = PeerAnswer(
            process_id=reply.sender_id,
            revision=reply.revision,
            read_age_s=age_s,
        )
        self.tracker.record_answer(reply.query_id, answer, own_revision)

    def read_age_ms(self) -> int | None:
        """Return the age of the newest read in whole ms, rounded up."""
        age_s = self.tracker.read_age_s(self._clock.monotonic_s())
        return None if age_s is None else math.ceil(age_s * 1000)
