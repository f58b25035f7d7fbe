"""Stateful test of several entries, checked against a simple model.

The entries run on virtual time with clocks of different rates, behind links
to the store and to each other that the test cuts at random.
"""

from __future__ import annotations

import asyncio
import random
from typing import Any
from typing import TYPE_CHECKING

import hypothesis
import pytest
import structlog
from hypothesis import stateful
from hypothesis import strategies as st

from dogwoodpost.core import ids
from dogwoodpost.core.configuration import changes
from dogwoodpost.errors import ConfigurationConflictError
from dogwoodpost.errors import EntryNotReadyError
from dogwoodpost.errors import InvalidInputError
from dogwoodpost.errors import StoreError
from dogwoodpost.services.entry.configuration_editor import ChangeRequest
from dogwoodpost.standins.virtual_time import VirtualTimeLoop
from measurements.control.fleet import create_account
from measurements.control.fleet import Entry
from measurements.control.fleet import Fleet

if TYPE_CHECKING:
    from collections.abc import Coroutine

    from dogwoodpost.core.configuration import Configuration

CLOCK_RATES = (1.0, 1.004, 0.996)
INITIAL_ENTRY_COUNT = 3
MAX_ENTRY_COUNT = 6
CHECK_INTERVAL_S = 0.05
ENTRY_INDEXES = st.sets(st.integers(0, 2), max_size=2)
ACCOUNT = ids.ClientAccountId('account')
RETRIED_ERRORS = (
    StoreError,
    EntryNotReadyError,
    ConfigurationConflictError,
    InvalidInputError,
)


class ConfigurationMachine(stateful.RuleBasedStateMachine):
    """Concurrent changes while links fail and entries start and stop."""

    def __init__(self) -> None:
        super().__init__()
        structlog.configure(
            wrapper_class=structlog.make_filtering_bound_logger(50)
        )
        self.loop = VirtualTimeLoop()
        asyncio.set_event_loop(self.loop)
        self.loop.set_exception_handler(self.record_failure)
        self.failures: list[dict[str, Any]] = []
        self.fleet = Fleet(INITIAL_ENTRY_COUNT, 1, CLOCK_RATES)
        self.live: list[Entry] = list(self.fleet.entries)
        self.tasks: set[asyncio.Task[None]] = set()
        self.request_count = 0
        self.accounts: set[str] = set()
        self.revoked: dict[str, int] = {}
        self.in_force: set[str] = set()
        self.highest: dict[str, int] = {}
        for entry in self.live:
            self.follow(entry)
        self.run(self.fleet.start())
        self.run(self.live[0].change(create_account(ACCOUNT), 'first'))

    def record_failure(
        self, _: asyncio.AbstractEventLoop, context: dict[str, Any]
    ) -> None:
        self.failures.append(context)

    def run(self, coroutine: Coroutine[Any, Any, Any]) -> Any:
        return self.loop.run_until_complete(coroutine)

    def start(self, coroutine: Coroutine[Any, Any, None]) -> None:
        task = self.loop.create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def teardown(self) -> None:
        self.run(self.fleet.stop())
        tasks = asyncio.all_tasks(self.loop)
        for task in tasks:
            task.cancel()
        self.run(asyncio.sleep(1.0))
        self.loop.close()
        structlog.reset_defaults()

    def follow(self, entry: Entry) -> None:
        incarnation = entry.row.incarnation

        def listener(configuration: Configuration) -> None:
            assert configuration.revision > self.highest.get(incarnation, 0)
            self.highest[incarnation] = configuration.revision

        entry.service.subscribe(listener)

    def next_id(self) -> str:
        self.request_count += 1
        return f'request-{self.request_count}'

    def change(self, rng: random.Random) -> None:
        """Issue or revoke a key; a concurrent operator may add an account."""
        entry = rng.choice(self.live)
        keys = entry.service.current().keys
        usable = sorted(key for key in keys if not keys[key].revoked)
        change: changes.Change = changes.IssueKey(
            key_id=ids.KeyId(self.next_id()),
            client_account_id=ACCOUNT,
            digest=self.next_id(),
        )
        if usable and rng.random() < 0.6:
            change = changes.RevokeKey(key_id=rng.choice(usable))
        self.submit(entry, change)
        if rng.random() < 0.3:
            account = create_account(self.next_id())
            self.submit(rng.choice(self.live), account)

    def submit(self, entry: Entry, change: changes.Change) -> None:
        request = ChangeRequest(
            request_id=ids.RequestId(self.next_id()),
            fingerprint='',
            change=change,
        )

        async def submit() -> None:
            # An operator who gets no answer repeats the request elsewhere.
            for target in (entry, entry, *self.live[:2]):
                try:
                    outcome = await target.editor.change(request)
                except RETRIED_ERRORS:
                    await asyncio.sleep(0.3)
                    continue
                self.acknowledge(change, outcome.revision)
                return

        self.start(submit())

    def acknowledge(self, change: changes.Change, revision: int) -> None:
        if isinstance(change, changes.RevokeKey):
            self.revoked.setdefault(change.key_id, revision)
        elif isinstance(change, changes.CreateClientAccount):
            self.accounts.add(change.client_account.client_account_id)

    @stateful.rule(
        seed=st.integers(0, 1_000_000),
        duration_s=st.sampled_from([1.0, 5.0, 9.0]),
        isolated=ENTRY_INDEXES,
        without_store=ENTRY_INDEXES,
        outage=st.sampled_from([False, False, True]),
        latency_s=st.sampled_from([0.005, 0.005, 1.0]),
        loss=st.sampled_from([0.0, 0.5]),
    )
    def phase(
        self,
        seed: int,
        duration_s: float,
        isolated: set[int],
        without_store: set[int],
        outage: bool,
        latency_s: float,
        loss: float,
    ) -> None:
        """Let entries and operators work while some links are cut."""
        self.fleet.network.cut.clear()
        for index, entry in enumerate(self.live):
            if index in isolated:
                self.fleet.network.cut.add(entry.row.peer_address)
            is_cut = outage or index in isolated | without_store
            entry.link.cut = is_cut
            entry.link.latency_s, entry.link.loss = latency_s, loss
        self.run(self.work(random.Random(seed), duration_s))

    async def work(self, rng: random.Random, duration_s: float) -> None:
        end_s = self.loop.time() + duration_s
        while self.loop.time() < end_s:
            # Makes about one change per second.
            if rng.random() < CHECK_INTERVAL_S:
                self.change(rng)
            await asyncio.sleep(CHECK_INTERVAL_S)
            self.check()

    @stateful.precondition(lambda self: len(self.live) > 1)
    @stateful.rule(index=st.integers(0, 5), planned=st.booleans())
    def end_entry(self, index: int, planned: bool) -> None:
        """Stop an entry as planned, or crash it and unlist its host."""
        entry = self.live[index % len(self.live)]
        self.live.remove(entry)
        if planned:
            self.start(self.stop(entry))
            return
        self.run(entry.crash())
        self.fleet.hosts.listed.pop(entry.row.host_id, None)

    async def stop(self, entry: Entry) -> None:
        await entry.service.stop()
        await entry.registration.remove()
        self.fleet.network.disconnect(entry.row.peer_address)

    @stateful.precondition(lambda self: len(self.live) < MAX_ENTRY_COUNT)
    @stateful.rule(listed=st.booleans(), cut=st.booleans())
    def add_entry(self, listed: bool, cut: bool) -> None:
        """Start a new entry; its host or its store link may be missing."""
        name = f'entry-{len(self.fleet.entries)}'
        entry = self.fleet.add(
            name, CLOCK_RATES[len(self.live) % len(CLOCK_RATES)]
        )
        entry.link.cut = cut
        self.follow(entry)
        self.live.append(entry)
        self.run(entry.start())
        if not listed:
            self.fleet.hosts.listed.pop(entry.row.host_id)

    def check(self) -> None:
        """Check that no entry has failed or accepts a revoked key while fresh.

        A revocation counts once any entry has reported it as in force.
        """
        for entry in self.live:
            for key_id, revision in self.revoked.items():
                report = entry.service.spread(ids.Revision(revision))
                if report.in_force:
                    self.in_force.add(key_id)
        assert self.failures == []
        for entry in self.live:
            assert entry.service.crash_reason is None
            if not entry.service.is_fresh():
                continue
            for key_id in self.in_force:
                record = entry.service.current().keys.get(ids.KeyId(key_id))
                assert record is None or record.revoked, (entry.name, key_id)

    @stateful.invariant()
    def acknowledged_changes_stay(self) -> None:
        newest = max(
            (entry.service.current() for entry in self.live),
            key=lambda configuration: configuration.revision,
        )
        for key_id, revision in self.revoked.items():
            if newest.revision >= revision:
                assert newest.keys[ids.KeyId(key_id)].revoked
        if len(self.accounts) and newest.revision == self.stored_revision():
            assert self.accounts <= newest.client_accounts.keys()

    def stored_revision(self) -> int:
        return sum(
            key.startswith('config/rev/') for key in self.fleet.tables.rows
        )


class FuzzConfigurationMachine(ConfigurationMachine):
    """The same state machine with longer runs."""


ConfigurationMachine.TestCase.settings = hypothesis.settings(
    max_examples=12, stateful_step_count=12
)
FuzzConfigurationMachine.TestCase.settings = hypothesis.settings(
    max_examples=200, stateful_step_count=40
)


class TestConfiguration(ConfigurationMachine.TestCase):
    """Guards against lost changes and against serving revoked keys."""


@pytest.mark.fuzz
class TestConfigurationFuzz(FuzzConfigurationMachine.TestCase):
    """Guards against the same faults in longer runs."""
