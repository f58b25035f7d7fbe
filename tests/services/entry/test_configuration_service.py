"""Tests of configuration, registration and freshness with several entries."""

from __future__ import annotations

import asyncio
from typing import Any
from typing import TYPE_CHECKING

import pytest

from dogwoodpost.core import ids
from dogwoodpost.core.configuration import changes
from dogwoodpost.core.configuration import history
from dogwoodpost.core.configuration.freshness import Freshness
from dogwoodpost.errors import ConfigurationConflictError
from dogwoodpost.errors import EntryNotReadyError
from dogwoodpost.errors import InvalidInputError
from dogwoodpost.errors import RequestIdReusedError
from dogwoodpost.errors import StoreOutcomeUnknownError
from dogwoodpost.ports.table_store import Row
from dogwoodpost.services.entry.configuration_editor import ChangeRequest
from dogwoodpost.services.entry.configuration_repository import (
    ConfigurationRepository,
)
from dogwoodpost.standins.virtual_time import run_virtual
from measurements.control.fleet import create_account
from measurements.control.fleet import Fleet

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable


def with_fleet(
    count: int, program: Callable[[Fleet], Awaitable[None]]
) -> None:
    async def run() -> None:
        fleet = Fleet(count, 1)
        await fleet.start()
        await asyncio.sleep(4.0)
        try:
            await program(fleet)
        finally:
            await fleet.stop()

    run_virtual(run())


def request(name: str, **values: Any) -> ChangeRequest:
    return ChangeRequest(
        request_id=ids.RequestId(values.pop('request_id', name)),
        fingerprint=name,
        change=create_account(name),
        **values,
    )


def test_a_repeated_request_returns_the_first_result() -> None:
    """Guards against applying a change twice after a lost response."""

    async def program(fleet: Fleet) -> None:
        first, second = fleet.entries
        first.link.loss = 1.0
        with pytest.raises(StoreOutcomeUnknownError):
            await first.editor.change(request('a'))
        first.link.loss = 0.0
        for entry in (first, second):
            outcome = await entry.editor.change(request('a'))
            assert (outcome.revision, outcome.repeated) == (1, True)
        with pytest.raises(RequestIdReusedError):
            await second.editor.change(request('b', request_id='a'))

    with_fleet(2, program)


def test_a_conflict_names_the_differing_fields() -> None:
    """Guards against overwriting a change that the operator has not seen."""

    async def program(fleet: Fleet) -> None:
        first, second = fleet.entries
        await first.editor.change(request('a'))
        await second.editor.change(request('b'))
        with pytest.raises(ConfigurationConflictError) as caught:
            await first.editor.change(
                request('c', base_revision=ids.Revision(1))
            )
        assert caught.value.current_revision == 2
        assert 'client_accounts.b.enabled' in caught.value.differing_fields
        base = ids.Revision(2)
        outcome = await first.editor.change(request('c', base_revision=base))
        assert outcome.revision == 3
        with pytest.raises(InvalidInputError):
            await second.editor.change(request('d d'))

    with_fleet(2, program)


def test_racing_changes_are_all_kept() -> None:
    """Guards against a compare-and-set that loses one of two changes."""

    async def program(fleet: Fleet) -> None:
        names = [f'account-{index}' for index in range(9)]
        await asyncio.gather(
            *(
                fleet.entries[index % 3].editor.change(request(name))
                for index, name in enumerate(names)
            )
        )
        await asyncio.sleep(1.5)
        for entry in fleet.entries:
            assert sorted(entry.service.current().client_accounts) == names

    with_fleet(3, program)


def test_restored_content_is_a_new_revision_with_keys_revoked(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a restore that brings a revoked key back."""
    module = 'dogwoodpost.services.entry.configuration_editor'
    monkeypatch.setattr(f'{module}.SNAPSHOT_INTERVAL_REVISIONS', 2)

    async def program(fleet: Fleet) -> None:
        entry = fleet.entries[0]
        repository = ConfigurationRepository(
            fleet.tables, fleet.objects, entry.clock
        )
        await entry.change(create_account('a'), '1')
        for key in ('k1', 'k2'):
            issue = changes.IssueKey(
                key_id=ids.KeyId(key),
                client_account_id=ids.ClientAccountId('a'),
                digest=key,
            )
            await entry.change(issue, key)
        before = await repository.content_at(ids.Revision(2))
        revoke = changes.RevokeKey(key_id=ids.KeyId('k1'))
        await entry.change(revoke, '4')
        await entry.change(create_account('b'), '5')
        restore = changes.RestoreRevision(
            revision=before.revision, content=before
        )
        assert await entry.change(restore, '6') == 6
        current = entry.service.current()
        assert list(current.client_accounts) == ['a']
        revoked = {key: current.keys[key].revoked for key in current.keys}
        assert revoked == {'k1': True, 'k2': True}
        assert await repository.content_at(ids.Revision(6)) == current
        assert len(fleet.objects.objects) >= 2

    with_fleet(1, program)


def test_old_history_is_trimmed(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against rows and snapshots that accumulate without bound."""
    editor = 'dogwoodpost.services.entry.configuration_editor'
    monkeypatch.setattr(f'{editor}.SNAPSHOT_INTERVAL_REVISIONS', 2)
    monkeypatch.setattr(history.plan_trim, '__defaults__', (5,))

    async def program(fleet: Fleet) -> None:
        for index in range(20):
            name = f'account-{index}'
            await fleet.entries[0].change(create_account(name), name)
        keys = sorted(fleet.tables.rows)
        revisions = [key for key in keys if key.startswith('config/rev/')]
        assert revisions == [f'config/rev/{n:012d}' for n in range(16, 21)]
        assert len([key for key in keys if key.startswith('op/')]) == 5
        assert len(fleet.objects.objects) <= 4
        late = fleet.add('late')
        await late.start()
        await late.service.wait_ready()
        assert len(late.service.current().client_accounts) == 20

    with_fleet(1, program)


def test_store_outage_keeps_keyed_routes_while_all_answer() -> None:
    """Guards against refusing callers during a store outage."""

    async def program(fleet: Fleet) -> None:
        for entry in fleet.entries:
            entry.link.cut = True
        for _ in range(100):
            await asyncio.sleep(0.2)
            assert all(entry.service.is_fresh() for entry in fleet.entries)
        state = fleet.entries[0].service.freshness()
        assert state is Freshness.STORE_DOWN
        # One entry stops answering; the host list still shows its host.
        silent = fleet.entries[2]
        fleet.network.cut.add(silent.row.peer_address)
        await asyncio.sleep(5.0)
        assert not any(entry.service.is_fresh() for entry in fleet.entries)
        fleet.hosts.listed.pop(silent.row.host_id)
        await asyncio.sleep(8.0)
        fresh = [entry.service.is_fresh() for entry in fleet.entries]
        assert fresh == [True, True, False]

    with_fleet(3, program)


def test_an_entry_without_the_store_is_kept_fresh_by_its_peers() -> None:
    """Guards against a stale entry that loses only its link to the store."""

    async def program(fleet: Fleet) -> None:
        first, second = fleet.entries
        second.link.cut = True
        for index in range(20):
            name = f'account-{index}'
            revision = await first.change(create_account(name), name)
            await asyncio.sleep(1.5)
            assert second.service.freshness() is Freshness.FRESH
        await asyncio.sleep(1.0)
        assert second.service.current().revision == revision

    with_fleet(2, program)


def test_a_blocked_peer_does_not_delay_queries_to_others() -> None:
    """Guards against queries delayed by a peer that accepts no messages."""

    async def program(fleet: Fleet) -> None:
        blocked, cut_off, helper = fleet.entries
        fleet.network.blocked.add(blocked.row.peer_address)
        cut_off.link.cut = True
        for _ in range(100):
            await asyncio.sleep(0.2)
            assert cut_off.service.is_fresh()
        revision = ids.Revision(await helper.change(create_account('a'), 'a'))
        await asyncio.sleep(3.5)
        assert cut_off.service.current().revision == revision

    with_fleet(3, program)


def test_a_new_entry_accepts_changes_once_all_know_it() -> None:
    """Guards against an accepted change that a peer in an outage misses.

    A peer that does not know the new entry would not query it before it
    concludes that the store is down.
    """

    async def program(fleet: Fleet) -> None:
        silent = fleet.entries[1]
        fleet.network.cut.add(silent.row.peer_address)
        late = fleet.add('late')
        await late.start()
        await late.service.wait_ready()
        await asyncio.sleep(3.0)
        with pytest.raises(EntryNotReadyError):
            await late.change(create_account('a'), 'a')
        fleet.network.cut.clear()
        await asyncio.sleep(1.0)
        assert await late.change(create_account('a'), 'a') == 1

    with_fleet(2, program)


def test_a_new_entry_needs_a_scan_after_its_registration(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against treating registrations not yet read as an empty list."""

    async def program(fleet: Fleet) -> None:
        late = fleet.add('late')

        async def fail() -> bool:
            return False

        monkeypatch.setattr(late.registration, 'scan', fail)
        await late.start()
        await asyncio.sleep(3.0)
        assert late.service.is_ready()
        assert not late.service.accepts_changes()
        monkeypatch.undo()
        await asyncio.sleep(1.0)
        assert late.service.accepts_changes()

    with_fleet(1, program)


@pytest.mark.parametrize(
    'key', ['config/head', 'config/rev/000000000001', 'members/entry/odd']
)
def test_malformed_rows_crash_no_service(key: str) -> None:
    """Guards against a malformed row that ends an entry's background work."""

    async def program(fleet: Fleet) -> None:
        first, second = fleet.entries
        second.link.cut = True
        fleet.network.cut.add(second.row.peer_address)
        await first.change(create_account('a'), 'a')
        fleet.tables.rows[key] = Row(key, b'{"revision": "odd"}', 10**6)
        second.link.cut = False
        await asyncio.sleep(15.0)
        assert second.service.crash_reason is None
        assert first.service.current().revision == 1
        assert second.service.is_fresh() is key.startswith('members/')

    with_fleet(2, program)


def test_a_revocation_names_the_entries_it_waits_for() -> None:
    """Guards against a spread report that omits an unreachable entry."""

    async def program(fleet: Fleet) -> None:
        first, second, silent = fleet.entries
        fleet.network.cut.add(silent.row.peer_address)
        silent.link.cut = True
        revision = ids.Revision(await first.change(create_account('a'), 'a'))
        await asyncio.sleep(1.0)
        for entry in (first, second):
            report = await entry.service.ask_spread(revision)
            await asyncio.sleep(0.1)
            assert not report.in_force
        report = second.service.spread(revision)
        assert report.waiting_for == (silent.name,)
        assert report.confirmed == (first.name,)
        await asyncio.sleep(2.5)
        assert first.service.spread(revision).in_force
        assert not silent.service.is_fresh()

    with_fleet(3, program)


def test_registrations_follow_the_entries() -> None:
    """Guards against leftover rows of dead entries and a lost own row."""

    async def program(fleet: Fleet) -> None:
        first, planned, dead = fleet.entries
        await planned.service.stop()
        await planned.registration.remove()
        assert f'members/entry/{planned.name}' not in fleet.tables.rows
        await dead.crash()
        await asyncio.sleep(40.0)
        assert f'members/entry/{dead.name}' in fleet.tables.rows
        fleet.hosts.listed.pop(dead.row.host_id)
        # The host list is read every 2 min, then 30 s of silence must pass.
        await asyncio.sleep(170.0)
        assert f'members/entry/{dead.name}' not in fleet.tables.rows
        del fleet.tables.rows[f'members/entry/{first.name}']
        await asyncio.sleep(1.3)
        assert f'members/entry/{first.name}' in fleet.tables.rows
        await asyncio.sleep(2.0)
        assert first.service.accepts_changes()

    with_fleet(3, program)


def test_a_quiet_entry_on_an_unlisted_host_is_not_dead() -> None:
    """Guards against removing a live entry that merely sent no messages."""

    async def program(fleet: Fleet) -> None:
        first, quiet = fleet.entries
        fleet.hosts.listed.pop(quiet.row.host_id)
        await asyncio.sleep(300.0)
        assert f'members/entry/{quiet.name}' in fleet.tables.rows
        assert quiet.service.accepts_changes()
        late = fleet.add('late')
        fleet.hosts.listed.pop(late.row.host_id, None)
        await late.start()
        fleet.hosts.listed.pop(late.row.host_id)
        await asyncio.sleep(100.0)
        now_s = first.clock.monotonic_s()
        assert late.name in first.known.required_to_answer(now_s)

    with_fleet(2, program)


def test_a_superseded_incarnation_stops_serving() -> None:
    """Guards against two processes that serve under one process id."""

    async def program(fleet: Fleet) -> None:
        old = fleet.entries[0]
        new = fleet.add(old.name)
        await new.start()
        await asyncio.sleep(5.0)
        assert new.service.accepts_changes()
        assert not old.service.accepts_changes()
        assert old.service.freshness() is Freshness.STALE

    with_fleet(1, program)
