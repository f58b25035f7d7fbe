"""The administration API over gRPC, and its command line."""

from __future__ import annotations

import asyncio
import json
import random
from typing import Any
from typing import TYPE_CHECKING

import msgspec
import pytest
from grpclib import GRPCError
from grpclib import Status
from grpclib.health.v1.health_grpc import HealthStub
from grpclib.health.v1.health_pb2 import HealthCheckRequest
from grpclib.health.v1.health_pb2 import HealthCheckResponse
from grpclib.reflection.v1.reflection_grpc import ServerReflectionStub
from grpclib.reflection.v1.reflection_pb2 import ServerReflectionRequest

from dogwoodpost.adapters.clock import BoottimeClock
from dogwoodpost.admin import dogwoodpost_admin_pb2 as pb
from dogwoodpost.admin.client import admin_stub
from dogwoodpost.admin.client import call_metadata
from dogwoodpost.admin.dogwoodpost_admin_grpc import AdminStub
from dogwoodpost.admin.server import build_admin_server
from dogwoodpost.cli.admin import admin_app
from dogwoodpost.cli.admin import TOKEN_VARIABLE
from dogwoodpost.core import ids
from dogwoodpost.core.configuration.known_entries import EntryRow
from dogwoodpost.core.configuration.known_entries import KnownEntries
from dogwoodpost.core.keys import KeyIndex
from dogwoodpost.services.entry.configuration_editor import ConfigurationEditor
from dogwoodpost.services.entry.configuration_repository import (
    ConfigurationRepository,
)
from dogwoodpost.services.entry.configuration_service import (
    ConfigurationService,
)
from dogwoodpost.services.entry.entry_peers import EntryPeers
from dogwoodpost.services.entry.registration import EntryRegistration
from dogwoodpost.standins.memory_store import MemoryObjectStore
from dogwoodpost.standins.memory_store import MemoryTableStore
from measurements.control.fleet import FakeTransport
from measurements.control.fleet import Network

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

TOKEN = 'a token'
METADATA = call_metadata(TOKEN)


class Running(msgspec.Struct):
    """An entry's administration API on loopback."""

    port: int
    service: Any
    tables: MemoryTableStore
    stub: AdminStub


@pytest.fixture
async def running() -> AsyncIterator[Running]:
    clock, rng = BoottimeClock(), random.Random(1)
    tables = MemoryTableStore()
    row = EntryRow(
        process_id=ids.ProcessId('entry-1'),
        incarnation=ids.Incarnation('1'),
        host_id=ids.HostId('host-1'),
        region=ids.Region('r'),
        availability_zone=ids.AvailabilityZone('r-a'),
        peer_address='tcp://entry-1',
    )
    known = KnownEntries(row.process_id)
    repository = ConfigurationRepository(tables, MemoryObjectStore(), clock)
    transport = FakeTransport(Network(rng), row.peer_address)
    service = ConfigurationService(
        repository,
        EntryRegistration(row, tables, None, known, clock, rng),
        EntryPeers(row, known, transport, clock),
        clock,
        rng,
    )
    editor = ConfigurationEditor(
        service, repository, clock, rng, process_id=row.process_id
    )
    await service.start()
    await service.wait_accepting()
    server = build_admin_server(
        service, repository, editor, clock, token=TOKEN
    )
    await server.start('127.0.0.1', 0)
    port = server._server.sockets[0].getsockname()[1]
    async with admin_stub('127.0.0.1', port) as stub:
        yield Running(port, service, tables, stub)
    server.close()
    await server.wait_closed()
    await service.stop()


def context(request_id: str, base: int | None = None) -> pb.ChangeContext:
    return pb.ChangeContext(request_id=request_id, base_revision=base)


async def create(running: Running, name: str, **limits: Any) -> Any:
    request = pb.CreateClientAccountRequest(
        context=context(f'create-{name.replace(" ", "-")}'),
        client_account_id=name,
        limits=pb.LimitsChange(**limits),
    )
    return await running.stub.CreateClientAccount(request, metadata=METADATA)


async def test_a_key_is_shown_once_and_stored_as_a_digest(
    running: Running, capfd: pytest.CaptureFixture[str]
) -> None:
    """Guards against a key that is returned again, stored or logged."""
    await create(running, 'acme')
    request = pb.IssueKeyRequest(
        context=context('issue'), client_account_id='acme'
    )
    issued = await running.stub.IssueKey(request, metadata=METADATA)
    again = await running.stub.IssueKey(request, metadata=METADATA)
    assert (again.key_id, again.key) == (issued.key_id, '')
    assert again.change.repeated
    keys = running.service.current().keys
    assert list(keys) == [issued.key_id]
    record = KeyIndex(keys.values()).find(issued.key)
    assert record is not None
    stored = b''.join(row.value for row in running.tables.rows.values())
    assert issued.key.encode() not in stored
    revoke = pb.RevokeKeyRequest(context=context('r'), key_id=issued.key_id)
    result = await running.stub.RevokeKey(revoke, metadata=METADATA)
    assert running.service.current().keys[issued.key_id].revoked
    watch = pb.WatchSpreadRequest(revision=result.revision)
    spreads = await running.stub.WatchSpread(watch, metadata=METADATA)
    assert spreads[-1].in_force
    state = await running.stub.ReadConfiguration(
        pb.ReadConfigurationRequest(), metadata=METADATA
    )
    assert keys[issued.key_id].digest not in str(state)
    output = ''.join(capfd.readouterr())
    assert issued.key not in output
    assert TOKEN not in output


async def test_errors_are_typed(running: Running) -> None:
    """Guards against errors that clients could only parse from text."""
    with pytest.raises(GRPCError) as caught:
        await create(running, 'bad name', weight=-1.0, max_concurrency=0)
    assert caught.value.status is Status.INVALID_ARGUMENT
    (detail,) = caught.value.details
    assert [finding.place for finding in detail.findings] == [
        'client_accounts.bad name',
        'client_accounts.bad name.limits.max_concurrency',
        'client_accounts.bad name.limits.weight',
    ]
    await create(running, 'acme')
    await create(running, 'other')
    request = pb.UpdateLimitsRequest(
        context=context('limits', base=1),
        client_account_id='acme',
        limits=pb.LimitsChange(weight=2.0),
    )
    with pytest.raises(GRPCError) as caught:
        await running.stub.UpdateLimits(request, metadata=METADATA)
    assert caught.value.status is Status.ABORTED
    (detail,) = caught.value.details
    assert detail.current_revision == 2
    assert 'client_accounts.other.enabled' in detail.differing_fields
    for call, missing in (
        (running.stub.WatchSpread, pb.WatchSpreadRequest(revision=9)),
        (
            running.stub.ReadConfiguration,
            pb.ReadConfigurationRequest(revision=9),
        ),
    ):
        with pytest.raises(GRPCError) as caught:
            await call(missing, metadata=METADATA)
        assert caught.value.status is Status.NOT_FOUND
    request.context.base_revision = 2
    await running.stub.UpdateLimits(request, metadata=METADATA)
    account = running.service.current().client_accounts['acme']
    assert (account.limits.weight, account.limits.max_concurrency) == (2.0, 64)


@pytest.mark.parametrize('token', [None, '', 'a toke', 'a token2', 'A token'])
async def test_the_token_is_needed(
    running: Running, token: str | None
) -> None:
    """Guards against a call that is accepted without the token."""
    with pytest.raises(GRPCError) as caught:
        await running.stub.ReadConfiguration(
            pb.ReadConfigurationRequest(), metadata=call_metadata(token)
        )
    assert caught.value.status is Status.UNAUTHENTICATED


async def test_health_and_reflection(running: Running) -> None:
    """Guards against a server without health checks and reflection."""
    channel = running.stub.ReadConfiguration.channel
    health = await HealthStub(channel).Check(
        HealthCheckRequest(service='dogwoodpost.admin.v1.Admin')
    )
    assert health.status == HealthCheckResponse.SERVING
    (listed,) = await ServerReflectionStub(channel).ServerReflectionInfo(
        [ServerReflectionRequest(list_services='')]
    )
    names = [s.name for s in listed.list_services_response.service]
    assert 'dogwoodpost.admin.v1.Admin' in names


async def test_commands_match_the_schema(
    running: Running,
    monkeypatch: pytest.MonkeyPatch,
    capsys: pytest.CaptureFixture[str],
) -> None:
    """Guards against commands that do not match the schema."""
    monkeypatch.setenv(TOKEN_VARIABLE, TOKEN)
    address = f'--address=127.0.0.1:{running.port}'

    async def run(*arguments: str) -> Any:
        command = [*arguments, address]
        await asyncio.to_thread(
            admin_app, command, result_action='return_value'
        )
        return json.loads(capsys.readouterr().out)

    await run('account', 'create', 'acme', '--weight', '2.5')
    await run('account', 'limits', 'acme', '--max-concurrency', '9')
    await run('account', 'disable', 'acme')
    await run('account', 'enable', 'acme', '--base-revision', '3')
    issued = await run('key', 'issue', 'acme', '--request-id', 'issue-1')
    assert issued['key']
    await run('key', 'revoke', issued['key_id'])
    await run('service', 'put', 'slate', 'engine', '--model', 'slate-lm')
    route = ('route', 'put', 'chat', 'slate', '/v1/')
    await run(*route, '--no-idempotent', '--client-account', 'acme')
    await run('route', 'delete', 'chat')
    await run('service', 'delete', 'slate')
    restored = await run('restore', '8')
    assert restored['revision'] == '11'
    state = await run('state')
    assert state['routes'][0]['client_account_ids'] == ['acme']
    assert state['routes'][0]['idempotent'] is False
    assert state['client_accounts'][0]['limits']['max_concurrency'] == 9
    history = await run('history', '--after', '9')
    changes = [item['change'] for item in history['items']]
    assert changes == ['DeleteService', 'RestoreRevision']
    difference = await run('diff', '1', '2')
    assert difference['differences'] == [
        {
            'place': 'client_accounts.acme.limits.max_concurrency',
            'before': '64',
            'after': '9',
        }
    ]
    conflict = ['account', 'enable', 'acme', '--base-revision=1', address]
    with pytest.raises(SystemExit) as caught:
        await asyncio.to_thread(admin_app, conflict)
    assert caught.value.code == 3
