"""Keeps the configuration of an entry up to date."""

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
from dogwoodpost.core.decoding import decode_json
from dogwoodpost.core.leases import lease_rank
from dogwoodpost.errors import MalformedDataError
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
# Polls may overlap, so that the configuration stays fresh even if the store
# takes up to this many poll intervals to answer.
MAX_CONCURRENT_READS = 3
# Interval of the checks of freshness, registration and announcement.
STATE_CHECK_INTERVAL_S = 0.25
# Entries whose host the host list does not show are queried this often, to
# tell live ones from dead ones.
UNLISTED_QUERY_INTERVAL_S = 5.0
# Recent revisions kept in memory to be sent in answers to other entries.
MAX_RELAYED_REVISIONS = 64

_logger = structlog.get_logger(__name__)


class ConfigurationService(Service, ConfigurationSource):
    """Polls the store, pushes changes and answers other entries' queries."""

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
        self._member_key = member_key(peers.own_row.process_id)
        self._configuration = Configuration()
        self._listeners: list[Callable[[Configuration], None]] = []
        self._recent_records: deque[records.RevisionRecord] = deque(
            maxlen=MAX_RELAYED_REVISIONS
        )
        self._spread = ChangeSpread(peers, registration, clock, rng)
        self._freshness = FreshnessQueries(peers, clock, rng)
        self._ready = asyncio.Event()
        self._is_registered = False
        self._is_superseded = False
        self._registered_s = math.inf
        self._open_read_count = 0
        self._is_read_pending = False
        self._background_tasks: set[asyncio.Task[None]] = set()

    def current(self) -> Configuration:
        """Return the configuration in force.

        Before the first read this is the empty configuration, revision 0.
        """
        return self._configuration

    def is_fresh(self) -> bool:
        """Return whether routes that require a key may be served."""
        return self.freshness() is not Freshness.STALE

    def freshness(self) -> Freshness:
        """Return whether and why routes that require a key may be served."""
        if not self._ready.is_set() or not self._is_registered:
            return Freshness.STALE
        return self._freshness.state()

    def subscribe(self, listener: Callable[[Configuration], None]) -> None:
        """Call a listener on the event loop with each new configuration."""
        self._listeners.append(listener)

    def accepts_changes(self) -> bool:
        """Return whether this entry may accept changes.

        It must be registered, and every registered live entry must know it.
        """
        return self._is_registered and self._freshness.is_announced()

    def is_ready(self) -> bool:
        """Return whether the configuration was read while registered."""
        return self._ready.is_set()

    async def wait_ready(self) -> None:
        """Wait until the configuration was read while registered."""
        await self._ready.wait()

    async def wait_accepting(self) -> None:
        """Wait until this entry may accept changes."""
        while not self.accepts_changes():  # noqa: ASYNC110
            await self._clock.sleep(STATE_CHECK_INTERVAL_S)

    def lease_rank(self, shard: ids.ShardName) -> int:
        """Return this entry's rank among the live entries for a lease."""
        others = self._peers.known_entries.required_to_answer(
            self._clock.monotonic_s()
        )
        return lease_rank(shard, self._peers.own_row.process_id, others)

    def spread(self, revision: ids.Revision) -> SpreadReport:
        """Report which entries have a revision in force."""
        return self._spread.report(revision, announced=self.accepts_changes())

    async def ask_spread(self, revision: ids.Revision) -> SpreadReport:
        """Report which entries have a revision in force.

        Queries the entries that have not confirmed it first, unless the
        revision is in force everywhere. Their answers show in later reports.
        """
        report = self.spread(revision)
        if report.in_force:
            return report
        await self._spread.query_unconfirmed(revision)
        return self.spread(revision)

    async def on_start(self) -> None:
        """Start to register and then to follow the store."""
        self.add_future(self._register_and_follow())

    async def on_stop(self) -> None:
        """Cancel the background tasks."""
        for task in self._background_tasks:
            task.cancel()

    async def handle(self, message: messages.AnyMessage) -> None:
        """Handle a message of another entry.

        Returns without waiting for the store or for a peer, because the
        caller receives all messages of the process and must not block.
        """
        match message:
            case messages.ConfigurationPush():
                self._peers.record_message(message)
                self._spread.confirm(message.sender_id, message.revision)
                self._spawn(self._handle_push(message))
            case messages.FreshnessQuery():
                self._peers.record_message(message)
                self._spawn(self._handle_query(message))
            case messages.FreshnessReply():
                self._peers.record_message(message)
                self._handle_reply(message)

    def apply_read(
        self, read: RepositoryRead, *, pushed: bool = False
    ) -> None:
        """Put a revision that was read from the store in force.

        :param pushed: another entry pushed the revision and tells the others,
            so this entry does not push it on.
        """
        is_new = read.configuration.revision > self._configuration.revision
        self._put_in_force(read.configuration, read.applied)
        self._check_registration(read)
        if self._is_registered:
            self._freshness.tracker.record_read(read.start_s)
            self._ready.set()
        if is_new and self._ready.is_set() and not pushed:
            revision = read.configuration.revision
            self._spawn(self._spread.push_to_some(revision))

    def apply_accepted(
        self, configuration: Configuration, record: records.RevisionRecord
    ) -> None:
        """Put a revision that was accepted at this entry in force."""
        self._put_in_force(configuration, [record])
        self._spawn(self._spread.push_to_all(configuration.revision))

    async def refresh(self, *, pushed: bool = False) -> bool:
        """Read the store once; return whether the read succeeded.

        :param pushed: another entry pushed the revision and tells the others.
        """
        try:
            read = await self._repository.read(
                self._configuration, [self._member_key]
            )
        except StoreError as error:
            _logger.debug('configuration_not_read', error=str(error))
            return False
        self.apply_read(read, pushed=pushed)
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
            if (
                self._recent_records
                and record.revision <= self._recent_records[-1].revision
            ):
                continue
            self._recent_records.append(record)
        for listener in self._listeners:
            listener(configuration)
        self._spread.record_own_revision(configuration.revision)

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
            # Another process with this process id has started.
            _logger.error('registration_superseded')
        self._is_superseded = True

    async def _register_and_follow(self) -> None:
        await self._register()
        await self._registration.read_hosts()
        self.add_future(self._poll())
        self.add_future(self._check_freshness())
        self.add_future(self._keep_registered())
        self.add_future(self._registration.follow())
        self.add_future(self._query_unlisted())

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
        if self._open_read_count >= MAX_CONCURRENT_READS:
            self._is_read_pending = True
            return
        self._open_read_count += 1
        self._spawn(self._read_once())

    async def _read_once(self) -> None:
        try:
            await self.refresh()
        finally:
            self._open_read_count -= 1
        if self._is_read_pending:
            self._is_read_pending = False
            self._request_read()

    async def _check_freshness(self) -> None:
        while not self.should_stop:
            revision = self._configuration.revision
            # In the background: sending to a slow peer may block.
            self._spawn(self._freshness.keep_fresh(revision))
            if self._freshness.is_query_overdue():
                # An entry that does not answer may be on a failed host, which
                # the host list no longer shows.
                self._spawn(self._registration.read_hosts())
            await self._clock.sleep(STATE_CHECK_INTERVAL_S)

    async def _keep_registered(self) -> None:
        while not self.should_stop:
            if not self._is_registered and self._ready.is_set():
                await self._register_again()
            elif not self._freshness.is_announced() and self._is_registered:
                await self._announce()
            await self._clock.sleep(STATE_CHECK_INTERVAL_S)

    async def _announce(self) -> None:
        # Entries that register later find this entry's row in their own
        # scan, so a scan that began after its registration is sufficient.
        scan_s = self._peers.known_entries.last_scan_s
        is_after = scan_s is not None and scan_s >= self._registered_s
        if is_after or await self._registration.scan():
            await self._freshness.announce(self._configuration.revision)

    async def _query_unlisted(self) -> None:
        while not self.should_stop:
            await self._clock.sleep(UNLISTED_QUERY_INTERVAL_S)
            await self._spread.query_unlisted()

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
            record
            for record in self._recent_records
            if record.revision > revision
        ]
        if not missing or missing[0].revision != revision + 1:
            return ()
        return tuple(msgspec.json.encode(record) for record in missing)

    def _apply_relayed(self, relayed: Sequence[bytes]) -> None:
        configuration = self._configuration
        applied = []
        for data in relayed:
            try:
                record = decode_json(data, records.RevisionRecord)
            except MalformedDataError:
                # This entry then keeps an older revision. Answers that name a
                # newer one do not count, so they do not keep it fresh.
                _logger.warning('malformed_relayed_revision')
                break
            if record.revision == configuration.revision + 1:
                configuration = apply_delta(configuration, record.delta)
                applied.append(record)
        self._put_in_force(configuration, applied)

    def _spawn(self, coroutine: Coroutine[Any, Any, None]) -> None:
        task = asyncio.ensure_future(coroutine)
        self._background_tasks.add(task)
        task.add_done_callback(self._on_task_done)

    def _on_task_done(self, task: asyncio.Task[None]) -> None:
        self._background_tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            _logger.error('background_task_failed', exc_info=task.exception())
