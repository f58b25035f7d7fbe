"""Keeps the configuration of one entry up to date."""

from __future__ import annotations

import asyncio
import math
from collections import deque
from typing import TYPE_CHECKING

import msgspec
import structlog
from mode import Service

from dogwoodpost.core import messages
from dogwoodpost.core.configuration import apply_delta
from dogwoodpost.core.configuration import Configuration
from dogwoodpost.core.configuration import records
from dogwoodpost.core.configuration.freshness import Freshness
from dogwoodpost.core.configuration.known_entries import member_key
from dogwoodpost.core.leases import lease_rank
from dogwoodpost.errors import StoreError
from dogwoodpost.ports.configuration_source import ConfigurationSource
from dogwoodpost.services.entry.change_spread import ChangeSpread
from dogwoodpost.services.entry.freshness import FreshnessQueries

if TYPE_CHECKING:
    import random
    from collections.abc import Callable
    from collections.abc import Coroutine
    from collections.abc import Sequence
    from typing import Any

    from dogwoodpost.core import ids
    from dogwoodpost.core.configuration.spread import SpreadReport
    from dogwoodpost.ports.clock import Clock
    from dogwoodpost.services.entry.configuration_repository import (
        ConfigurationRepository,
    )
    from dogwoodpost.services.entry.configuration_repository import (
        RepositoryRead,
    )
    from dogwoodpost.services.entry.entry_peers import EntryPeers
    from dogwoodpost.services.entry.registration import EntryRegistration

POLL_INTERVAL_S = 1.0
# Polls may overlap, so that a store that takes up to this many intervals to
# answer still keeps the configuration fresh.
MAX_OPEN_READS = 3
TICK_S = 0.25
PROBE_INTERVAL_S = 5.0
RELAYED_COUNT = 64

_logger = structlog.get_logger(__name__)


class ConfigurationService(Service, ConfigurationSource):
    """Polls the store, pushes changes and answers the other entries."""

    def __init__(
        self,
        repository: ConfigurationRepository,
        registration: EntryRegistration,
        peers: EntryPeers,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        super().__init__()
        self._repository = repository
        self._registration = registration
        self._peers = peers
        self._clock = clock
        self._rng = rng
        self._member_key = member_key(peers.own.process_id)
        self._configuration = Configuration()
        self._listeners: list[Callable[[Configuration], None]] = []
        self._recent: deque[records.RevisionRecord] = deque(
            maxlen=RELAYED_COUNT
        )
        self._spread = ChangeSpread(peers, registration, clock, rng)
        self._freshness = FreshnessQueries(peers, clock, rng)
        self._ready = asyncio.Event()
        self._is_registered = False
        self._is_superseded = False
        self._registered_s = math.inf
        self._open_reads = 0
        self._read_again = False
        self._open_tasks: set[asyncio.Task[None]] = set()

    def current(self) -> Configuration:
        """Return the revision in force; revision 0 before the first read."""
        return self._configuration

    def is_fresh(self) -> bool:
        """Return whether keyed routes may be served."""
        return self.freshness() is not Freshness.STALE

    def freshness(self) -> Freshness:
        """Return whether and why keyed routes may be served."""
        if not self._ready.is_set() or not self._is_registered:
            return Freshness.STALE
        return self._freshness.state()

    def subscribe(self, listener: Callable[[Configuration], None]) -> None:
        """Call the listener with each new revision, on the event loop."""
        self._listeners.append(listener)

    def accepts_changes(self) -> bool:
        """Return whether this entry may accept changes."""
        return self._is_registered and self._freshness.is_announced()

    def is_ready(self) -> bool:
        """Return whether the current revision has been read."""
        return self._ready.is_set()

    async def wait_ready(self) -> None:
        """Wait for the first read."""
        await self._ready.wait()

    async def wait_accepting(self) -> None:
        """Wait until this entry may accept changes."""
        while not self.accepts_changes():  # noqa: ASYNC110
            await self._clock.sleep(TICK_S)

    def lease_rank(self, shard: ids.ShardName) -> int:
        """Return this entry's place among the live entries for a lease."""
        others = self._peers.known.required(self._clock.monotonic_s())
        return lease_rank(shard, self._peers.own.process_id, others)

    def spread(self, revision: ids.Revision) -> SpreadReport:
        """Return which entries have a revision in force."""
        return self._spread.report(revision, announced=self.accepts_changes())

    async def ask_spread(self, revision: ids.Revision) -> SpreadReport:
        """Ask the entries that have not confirmed a revision."""
        report = self.spread(revision)
        if report.in_force:
            return report
        await self._spread.ask(revision)
        return self.spread(revision)

    async def on_start(self) -> None:
        """Register, then follow the store."""
        self.add_future(self._run())

    async def on_stop(self) -> None:
        """Cancel open reads."""
        for task in self._open_tasks:
            task.cancel()

    async def handle(self, message: messages.AnyMessage) -> None:
        """Take a message of another entry.

        Returns without waiting for the store or for a peer, because the
        caller receives all messages of the process.
        """
        match message:
            case messages.ConfigurationPush():
                self._peers.hear(message)
                self._spread.confirm(message.sender_id, message.revision)
                self._start(self._handle_push(message))
            case messages.FreshnessQuery():
                self._peers.hear(message)
                self._start(self._handle_query(message))
            case messages.FreshnessReply():
                self._peers.hear(message)
                self._handle_reply(message)

    def adopt(self, read: RepositoryRead, *, pushed: bool = False) -> None:
        """Put a revision read from the store in force."""
        is_new = read.configuration.revision > self._configuration.revision
        self._put_in_force(read.configuration, read.applied)
        self._check_registration(read)
        if self._is_registered:
            self._freshness.tracker.record_read(read.start_s)
            self._ready.set()
        if is_new and self._ready.is_set() and not pushed:
            revision = read.configuration.revision
            self._start(self._spread.push_to_some(revision))

    def adopt_own(
        self, configuration: Configuration, record: records.RevisionRecord
    ) -> None:
        """Put a revision in force that was accepted here."""
        self._put_in_force(configuration, [record])
        self._start(self._spread.push_to_all(configuration.revision))

    async def refresh(self, *, pushed: bool = False) -> bool:
        """Read the store once; return whether it answered.

        :param pushed: another entry told of a change and tells the others.
        """
        try:
            read = await self._repository.read(
                self._configuration, [self._member_key]
            )
        except StoreError as error:
            _logger.debug('configuration_not_read', error=str(error))
            return False
        self.adopt(read, pushed=pushed)
        return True

    def _put_in_force(
        self,
        configuration: Configuration,
        applied: Sequence[records.RevisionRecord],
    ) -> None:
        if configuration.revision <= self._configuration.revision:
            return
        self._configuration = configuration
        for record in applied:
            if self._recent and record.revision <= self._recent[-1].revision:
                continue
            self._recent.append(record)
        for listener in self._listeners:
            listener(configuration)
        self._spread.record_own(configuration.revision)

    def _check_registration(self, read: RepositoryRead) -> None:
        row = read.rows.get(self._member_key)
        self._is_registered = self._registration.is_own_row(row)
        if self._is_registered:
            return
        self._freshness.forget_announcement()
        if row is None:
            _logger.warning('registration_missing')
            return
        if not self._is_superseded:
            # Another incarnation with this process id has started.
            _logger.error('registration_superseded')
        self._is_superseded = True

    async def _run(self) -> None:
        await self._register()
        await self._registration.read_hosts()
        self.add_future(self._poll())
        self.add_future(self._tick())
        self.add_future(self._keep_registered())
        self.add_future(self._registration.follow())
        self.add_future(self._probe())

    async def _register(self) -> None:
        while not self.should_stop:
            try:
                await self._registration.register()
            except StoreError as error:
                _logger.warning('not_registered', error=str(error))
                delay_s = self._rng.uniform(0, POLL_INTERVAL_S)
                await self._clock.sleep(delay_s)
            else:
                self._registered_s = self._clock.monotonic_s()
                return

    async def _poll(self) -> None:
        while not self.should_stop:
            self._request_read()
            await self._clock.sleep(POLL_INTERVAL_S)

    def _request_read(self) -> None:
        if self._open_reads >= MAX_OPEN_READS:
            self._read_again = True
            return
        self._open_reads += 1
        self._start(self._read())

    async def _read(self) -> None:
        try:
            await self.refresh()
        finally:
            self._open_reads -= 1
        if self._read_again:
            self._read_again = False
            self._request_read()

    async def _tick(self) -> None:
        while not self.should_stop:
            revision = self._configuration.revision
            # A peer may be slow to take a message, so nothing waits for it.
            self._start(self._freshness.keep_fresh(revision))
            if self._freshness.is_unanswered():
                # The silent entry's host may have failed.
                self._start(self._registration.read_hosts())
            await self._clock.sleep(TICK_S)

    async def _keep_registered(self) -> None:
        while not self.should_stop:
            if not self._is_registered and self._ready.is_set():
                await self._register_again()
            elif not self._freshness.is_announced() and self._is_registered:
                await self._announce()
            await self._clock.sleep(TICK_S)

    async def _announce(self) -> None:
        # Entries that register later find this one's row themselves.
        scan_s = self._peers.known.last_scan_s
        is_after = scan_s is not None and scan_s >= self._registered_s
        if is_after or await self._registration.scan():
            await self._freshness.announce(self._configuration.revision)

    async def _probe(self) -> None:
        while not self.should_stop:
            await self._clock.sleep(PROBE_INTERVAL_S)
            await self._spread.probe_unlisted()

    async def _register_again(self) -> None:
        if self._is_superseded:
            return
        try:
            await self._registration.register()
        except StoreError as error:
            _logger.warning('not_registered', error=str(error))
            return
        self._registered_s = self._clock.monotonic_s()
        self._request_read()

    async def _handle_push(self, push: messages.ConfigurationPush) -> None:
        if push.revision > self._configuration.revision:
            await self.refresh(pushed=True)
        await self._spread.answer_push(push, self._configuration.revision)

    async def _handle_query(self, query: messages.FreshnessQuery) -> None:
        await self._peers.reply(
            query,
            self._configuration.revision,
            self._freshness.read_age_ms(),
            self._records_after(query.revision),
        )
        if query.revision > self._configuration.revision:
            self._request_read()

    def _handle_reply(self, reply: messages.FreshnessReply) -> None:
        self._apply_relayed(reply.records)
        self._spread.confirm(reply.sender_id, reply.revision)
        self._freshness.record_reply(reply, self._configuration.revision)

    def _records_after(self, revision: ids.Revision) -> tuple[bytes, ...]:
        missing = [
            record for record in self._recent if record.revision > revision
        ]
        if not missing or missing[0].revision != revision + 1:
            return ()
        return tuple(msgspec.json.encode(record) for record in missing)

    def _apply_relayed(self, relayed: Sequence[bytes]) -> None:
        configuration = self._configuration
        applied = []
        for data in relayed:
            try:
                record = msgspec.json.decode(data, type=records.RevisionRecord)
            except msgspec.MsgspecError:
                # The entry then stays behind, which its freshness shows.
                _logger.warning('malformed_relayed_revision')
                break
            if record.revision == configuration.revision + 1:
                configuration = apply_delta(configuration, record.delta)
                applied.append(record)
        self._put_in_force(configuration, applied)

    def _start(self, coroutine: Coroutine[Any, Any, None]) -> None:
        task = asyncio.ensure_future(coroutine)
        self._open_tasks.add(task)
        task.add_done_callback(self._end_task)

    def _end_task(self, task: asyncio.Task[None]) -> None:
        self._open_tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            _logger.error('background_task_failed', exc_info=task.exception())
