"""Propagates configuration changes to the other entries."""

from __future__ import annotations

from typing import TYPE_CHECKING

from dogwoodpost.core import ids
from dogwoodpost.core.configuration.spread import SpreadTracker

if TYPE_CHECKING:
    import random

    from dogwoodpost.core import messages
    from dogwoodpost.core.configuration.spread import SpreadReport
    from dogwoodpost.ports.clock import Clock
    from dogwoodpost.services.entry.entry_peers import EntryPeers
    from dogwoodpost.services.entry.registration import EntryRegistration

# Entries that have not confirmed a push are queried after this delay, and
# again after each further delay.
FOLLOW_UP_QUERY_DELAY_S = 1.0
MAX_FOLLOW_UP_QUERIES = 3
# Query id for queries that only ask which revision an entry has in force.
SPREAD_QUERY_ID = 'spread'
# Number of entries that are told of a change found by polling, in case the
# entry that accepted it has crashed. All others find it by polling as well.
POLLED_CHANGE_FANOUT = 8
# Bounds the record of answered pushes. Restarted entries leave their previous
# incarnation in it, so the bound exceeds the entry count of the target size.
MAX_ANSWERED_COUNT = 1024


class ChangeSpread:
    """Pushes revisions to the other entries and tracks their confirmations."""

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
        self._spread = SpreadTracker()
        self._revision = ids.Revision(0)
        self._answered: dict[ids.Incarnation, ids.Revision] = {}

    def record_own_revision(self, revision: ids.Revision) -> None:
        """Record that a revision is in force at this entry."""
        self._revision = revision
        self._spread.record_own_revision(revision, self._clock.monotonic_s())

    def confirm(
        self, process_id: ids.ProcessId, revision: ids.Revision
    ) -> None:
        """Record that another entry has a revision in force."""
        self._spread.confirm(process_id, revision)

    def report(
        self, revision: ids.Revision, *, announced: bool
    ) -> SpreadReport:
        """Report which entries have a revision in force.

        :param announced: whether every registered live entry knows this one.
        """
        now_s = self._clock.monotonic_s()
        known_entries = self._peers.known_entries
        return self._spread.report(
            revision,
            now_s,
            awaited=known_entries.required_to_confirm(now_s),
            scan_start_s=known_entries.last_scan_s,
            announced=announced,
        )

    async def query_unconfirmed(self, revision: ids.Revision) -> None:
        """Query the registered entries that have not confirmed a revision.

        Reads the registrations from the store first.
        """
        await self._registration.scan()
        await self._query(self._unconfirmed_entries(revision))

    async def query_unlisted(self) -> None:
        """Query the registered entries whose host is not in the host list."""
        await self._query(self._peers.known_entries.unlisted())

    async def push_to_all(self, revision: ids.Revision) -> None:
        """Push a change that was accepted here to all entries.

        Entries that do not confirm it are queried a limited number of times.
        """
        await self._peers.push(revision, self._unconfirmed_entries(revision))
        # Finds entries that have registered since the last scan.
        await self._registration.scan()
        for _ in range(MAX_FOLLOW_UP_QUERIES):
            await self._clock.sleep(FOLLOW_UP_QUERY_DELAY_S)
            unconfirmed = self._unconfirmed_entries(revision)
            if not unconfirmed or self._revision != revision:
                return
            # Entries confirm a pushed revision only once, so a lost
            # confirmation is recovered by a query, which is always answered.
            await self._query(unconfirmed)

    async def push_to_some(self, revision: ids.Revision) -> None:
        """Push a change that was found by polling to a few random entries."""
        unconfirmed = self._unconfirmed_entries(revision)
        count = min(len(unconfirmed), POLLED_CHANGE_FANOUT)
        await self._peers.push(revision, self._rng.sample(unconfirmed, count))

    async def answer_push(
        self, push: messages.ConfigurationPush, revision: ids.Revision
    ) -> None:
        """Push the revision in force here back to the sender of a push.

        This confirms the pushed revision, or tells the sender of a higher
        one. Each revision is pushed back to an incarnation only once;
        otherwise two entries would answer each other's pushes endlessly.
        """
        if push.revision > revision:
            return
        if self._answered.get(push.sender_incarnation, -1) >= revision:
            return
        self._answered[push.sender_incarnation] = revision
        while len(self._answered) > MAX_ANSWERED_COUNT:
            del self._answered[next(iter(self._answered))]
        await self._peers.push(revision, [push.sender_id])

    def _unconfirmed_entries(
        self, revision: ids.Revision
    ) -> list[ids.ProcessId]:
        return self._spread.unconfirmed_entries(
            revision, self._peers.known_entries.addresses()
        )

    async def _query(self, process_ids: list[ids.ProcessId]) -> None:
        if process_ids:
            await self._peers.query(
                SPREAD_QUERY_ID, self._revision, process_ids
            )
