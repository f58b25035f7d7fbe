"""Tells the other entries of changes and collects their confirmations."""

from __future__ import annotations

from typing import TYPE_CHECKING

from dogwoodpost.core import ids
from dogwoodpost.core.configuration.spread import Spread

if TYPE_CHECKING:
    import random

    from dogwoodpost.core import messages
    from dogwoodpost.core.configuration.spread import SpreadReport
    from dogwoodpost.ports.clock import Clock
    from dogwoodpost.services.entry.entry_peers import EntryPeers
    from dogwoodpost.services.entry.registration import EntryRegistration

REPEAT_PUSH_S = 1.0
PUSH_TRIES = 3
# Id of queries that ask for the revision only.
SPREAD_QUERY = 'spread'
# An entry that learns of a change by polling tells a few others, in case the
# entry that accepted it has died. The others learn of it by polling as well.
FANOUT_AFTER_POLL = 8
# More than the entries of the target size; restarts leave old ones behind.
MAX_TOLD_COUNT = 1024


class ChangeSpread:
    """Spread of the revisions in force here over the other entries."""

    def __init__(
        self,
        peers: EntryPeers,
        registration: EntryRegistration,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self._peers = peers
        self._registration = registration
        self._clock = clock
        self._rng = rng
        self._spread = Spread()
        self._revision = ids.Revision(0)
        self._told: dict[ids.Incarnation, ids.Revision] = {}

    def record_own(self, revision: ids.Revision) -> None:
        """Note that a revision is in force here."""
        self._revision = revision
        self._spread.record_own(revision, self._clock.monotonic_s())

    def confirm(
        self, process_id: ids.ProcessId, revision: ids.Revision
    ) -> None:
        """Note that another entry has a revision in force."""
        self._spread.confirm(process_id, revision)

    def report(
        self, revision: ids.Revision, *, announced: bool
    ) -> SpreadReport:
        """Return which entries have a revision in force."""
        now_s = self._clock.monotonic_s()
        known = self._peers.known
        return self._spread.report(
            revision,
            now_s,
            awaited=known.awaited(now_s),
            scan_start_s=known.last_scan_s,
            announced=announced,
        )

    async def ask(self, revision: ids.Revision) -> None:
        """Ask the registered entries that have not confirmed a revision."""
        await self._registration.scan()
        await self._ask(self._behind(revision))

    async def probe_unlisted(self) -> None:
        """Ask the entries whose host the host list does not show."""
        await self._ask(self._peers.known.unlisted())

    async def push_to_all(self, revision: ids.Revision) -> None:
        """Tell all entries of a change that was accepted here."""
        await self._peers.push(revision, self._behind(revision))
        # The scan shows entries that were registered meanwhile.
        await self._registration.scan()
        for _ in range(PUSH_TRIES):
            await self._clock.sleep(REPEAT_PUSH_S)
            behind = self._behind(revision)
            if not behind or self._revision != revision:
                return
            # A query is answered even if the answer to a push was lost.
            await self._ask(behind)

    async def push_to_some(self, revision: ids.Revision) -> None:
        """Tell a few entries of a change that was found by polling."""
        behind = self._behind(revision)
        count = min(len(behind), FANOUT_AFTER_POLL)
        await self._peers.push(revision, self._rng.sample(behind, count))

    async def answer_push(
        self, push: messages.ConfigurationPush, revision: ids.Revision
    ) -> None:
        """Confirm a pushed revision, or tell its sender of a higher one.

        Each side tells the other of a revision once, which ends the exchange.
        """
        if push.revision > revision:
            return
        if self._told.get(push.sender_incarnation, -1) >= revision:
            return
        self._told[push.sender_incarnation] = revision
        while len(self._told) > MAX_TOLD_COUNT:
            del self._told[next(iter(self._told))]
        await self._peers.push(revision, [push.sender_id])

    def _behind(self, revision: ids.Revision) -> list[ids.ProcessId]:
        return self._spread.behind(revision, self._peers.known.addresses())

    async def _ask(self, process_ids: list[ids.ProcessId]) -> None:
        if process_ids:
            await self._peers.query(SPREAD_QUERY, self._revision, process_ids)
