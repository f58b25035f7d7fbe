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
    """The other entries, as far as this one knows them."""

    def __init__(
        self,
        own: EntryRow,
        known: KnownEntries,
        transport: PeerTransport,
        clock: Clock,
    ) -> None:
        self.own = own
        self.known = known
        self._transport = transport
        self._clock = clock

    def hear(self, message: messages.Message) -> None:
        """Note that an entry sent a message."""
        self.known.record_heard(
            message.sender_id,
            message.sender_address,
            self._clock.monotonic_s(),
        )

    async def push(
        self, revision: ids.Revision, to: Iterable[ids.ProcessId]
    ) -> None:
        """Tell other entries which revision is in force here."""
        message = messages.ConfigurationPush(
            sender_id=self.own.process_id,
            sender_incarnation=self.own.incarnation,
            sender_address=self.own.peer_address,
            revision=revision,
        )
        await self._send_all(message, to)

    async def query(
        self,
        query_id: str,
        revision: ids.Revision,
        to: Iterable[ids.ProcessId],
    ) -> None:
        """Ask other entries how fresh their configuration is."""
        message = messages.FreshnessQuery(
            sender_id=self.own.process_id,
            sender_incarnation=self.own.incarnation,
            sender_address=self.own.peer_address,
            query_id=query_id,
            revision=revision,
        )
        asked = tuple(to)
        now_s = self._clock.monotonic_s()
        for process_id in asked:
            self.known.record_asked(process_id, now_s)
        await self._send_all(message, asked)

    async def reply(
        self,
        query: messages.FreshnessQuery,
        revision: ids.Revision,
        read_age_ms: int | None,
        records: tuple[bytes, ...],
    ) -> None:
        """Answer a query."""
        message = messages.FreshnessReply(
            sender_id=self.own.process_id,
            sender_incarnation=self.own.incarnation,
            sender_address=self.own.peer_address,
            query_id=query.query_id,
            revision=revision,
            read_age_ms=read_age_ms,
            records=records,
        )
        await self._send(query.sender_address, message)

    async def _send_all(
        self, message: messages.AnyMessage, to: Iterable[ids.ProcessId]
    ) -> None:
        addresses = self.known.addresses()
        # One slow peer does not hold up the messages to the others.
        await asyncio.gather(
            *(
                self._send(addresses[process_id], message)
                for process_id in to
                if process_id in addresses
            )
        )

    async def _send(self, address: str, message: messages.AnyMessage) -> None:
        try:
            await self._transport.send(address, message)
        except TransportError:
            # Pushes and queries are repeated; a lost reply is asked for again.
            return
