"""Sends messages to the other entries."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from dogwoodpost.core import messages
from dogwoodpost.errors import TransportError

if TYPE_CHECKING:
    from collections.abc import Iterable

    from dogwoodpost.core import ids
    from dogwoodpost.core.configuration.known_entries import EntryRow
    from dogwoodpost.core.configuration.known_entries import KnownEntries
    from dogwoodpost.ports.clock import Clock
    from dogwoodpost.ports.peer_transport import PeerTransport


class EntryPeers:
    """Sends configuration messages to the entries that this one knows.

    A failed send is ignored; callers repeat pushes and queries.
    """

    def __init__(
        self,
        own_row: EntryRow,
        known_entries: KnownEntries,
        transport: PeerTransport,
        clock: Clock,
    ) -> None:
        self.own_row = own_row
        self.known_entries = known_entries
        self._transport = transport
        self._clock = clock

    def record_message(self, message: messages.Message) -> None:
        """Record that an entry has sent a message."""
        self.known_entries.record_message(
            message.sender_id,
            message.sender_address,
            self._clock.monotonic_s(),
        )

    async def push(
        self, revision: ids.Revision, process_ids: Iterable[ids.ProcessId]
    ) -> None:
        """Send the revision in force here to other entries."""
        message = messages.ConfigurationPush(
            sender_id=self.own_row.process_id,
            sender_incarnation=self.own_row.incarnation,
            sender_address=self.own_row.peer_address,
            revision=revision,
        )
        await self._send_all(message, process_ids)

    async def query(
        self,
        query_id: str,
        revision: ids.Revision,
        process_ids: Iterable[ids.ProcessId],
    ) -> None:
        """Ask other entries how fresh their configuration is.

        The queried entries are recorded as asked, answered or not.
        """
        message = messages.FreshnessQuery(
            sender_id=self.own_row.process_id,
            sender_incarnation=self.own_row.incarnation,
            sender_address=self.own_row.peer_address,
            query_id=query_id,
            revision=revision,
        )
        queried_ids = tuple(process_ids)
        now_s = self._clock.monotonic_s()
        for process_id in queried_ids:
            self.known_entries.record_query(process_id, now_s)
        await self._send_all(message, queried_ids)

    async def reply(
        self,
        query: messages.FreshnessQuery,
        revision: ids.Revision,
        read_age_ms: int | None,
        records: tuple[bytes, ...],
    ) -> None:
        """Answer a query.

        :param revision: revision in force here.
        :param read_age_ms: age of the newest store read, None before a read.
        :param records: encoded records of the revisions that the sender of
            the query lacks.
        """
        message = messages.FreshnessReply(
            sender_id=self.own_row.process_id,
            sender_incarnation=self.own_row.incarnation,
            sender_address=self.own_row.peer_address,
            query_id=query.query_id,
            revision=revision,
            read_age_ms=read_age_ms,
            records=records,
        )
        await self._send(query.sender_address, message)

    async def _send_all(
        self,
        message: messages.AnyMessage,
        process_ids: Iterable[ids.ProcessId],
    ) -> None:
        addresses = self.known_entries.addresses()
        # In parallel, so that a slow peer does not delay the other messages.
        await asyncio.gather(
            *(
                self._send(addresses[process_id], message)
                for process_id in process_ids
                if process_id in addresses
            )
        )

    async def _send(self, address: str, message: messages.AnyMessage) -> None:
        try:
            await self._transport.send(address, message)
        except TransportError:
            # Pushes and queries are repeated; a lost reply is queried again.
            return
