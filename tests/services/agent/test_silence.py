"""Connections, processes and endpoints that stop responding."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import pytest

from dogwoodpost.core import messages
from dogwoodpost.core.messages import AttemptOutcome
from dogwoodpost.errors import EndpointError
from dogwoodpost.ports.attempt_runner import AttemptOutcomeUnknownError
from dogwoodpost.standins.engine import completion_text
from dogwoodpost.standins.engine import EngineFaults
from tests.fakes.site import eventually
from tests.fakes.site import make_spec
from tests.services.agent.test_path import body
from tests.services.agent.test_path import ENGINE
from tests.services.agent.test_path import PLAIN
from tests.services.agent.test_path import streamed_text

if TYPE_CHECKING:
    from tests.fakes.site import Site


async def test_response_survives_a_silent_connection(site: Site) -> None:
    """Guards against losing a response whose connection goes silent.

    After the reconnect, the entry fetches the missing parts.
    """
    transport = site.entry.transport
    transport.drops_message = lambda _: True
    reopened = asyncio.Event()

    def reconnect(address: str) -> None:
        type(transport).reconnect(transport, address)
        transport.drops_message = lambda _: False
        reopened.set()

    transport.reconnect = reconnect
    spec = make_spec('t1', body=body('p', stream=True, max_tokens=50))
    *events, end = await site.entry.run(ENGINE, spec)
    assert reopened.is_set()
    assert end.outcome is AttemptOutcome.COMPLETED
    assert streamed_text(events) == completion_text('p', 50)
    assert site.engine.counters.executions == {'t1': 1}


async def test_entry_and_agent_detect_a_dead_peer(site: Site) -> None:
    """Guards against attempts and waits that outlast a dead peer."""
    transport = site.entry.transport
    spec = make_spec('t1', body=body('p', stream=True, max_tokens=10**6))
    running = asyncio.create_task(site.entry.run(ENGINE, spec))
    await eventually(lambda: site.engine.batch.running_count == 1)
    transport.drops_message = lambda _: True
    sent: list[messages.AnyMessage] = []

    async def send(address: str, message: messages.AnyMessage) -> None:
        sent.append(message)

    transport.send = send
    with pytest.raises(AttemptOutcomeUnknownError):
        await running
    await eventually(lambda: site.engine.batch.running_count == 0)
    assert site.entry.listener.endpoints == {}


async def test_restarted_entry_cancels_old_attempts(site: Site) -> None:
    """Guards against generating for callers of an entry's earlier run.

    The agent sends the attempt's end first, so that an engine that hangs does
    not delay it, and cancels the request at the engine after that.
    """
    spec = make_spec('t1', body=body('p', stream=True, max_tokens=10**6))
    running = asyncio.create_task(site.entry.run(ENGINE, spec))
    await eventually(lambda: site.engine.batch.running_count == 1)
    heartbeat = messages.EntryHeartbeat(
        sender_id=site.entry.identity.process_id,
        sender_incarnation='e2',
        sender_address=site.entry.identity.address,
        sequence=1,
        echo_sequence=0,
        revision=1,
    )
    address = site.entry.listener.endpoints[ENGINE].agent_address
    await site.entry.transport.send(address, heartbeat)
    end = (await running)[-1]
    assert end.outcome is AttemptOutcome.CANCELLED
    async with asyncio.timeout(1.0):
        await eventually(lambda: site.engine.batch.running_count == 0)


async def test_command_without_a_result_is_an_error(site: Site) -> None:
    """Guards against a command that waits forever for a hanging endpoint."""
    site.entry.fencing_numbers['weights/model'] = 1
    numbers = site.agent.agent._fencing_numbers
    await eventually(lambda: numbers.highest('weights/model') == 1)
    site.engine.set_faults(EngineFaults(hang=True))
    site.entry.commander._timeout_s = 0.3
    endpoint = site.entry.listener.endpoints[ENGINE]
    with pytest.raises(EndpointError):
        await site.entry.commander.command(
            endpoint,
            'weights/model',
            1,
            messages.EndpointAction.SET_ROLE,
            'decode',
        )


async def test_endpoint_that_is_down_is_not_ready(site: Site) -> None:
    """Guards against routing to an endpoint that answers no poll."""
    site.engine.set_faults(EngineFaults(crashed=True))
    endpoints = site.entry.listener.endpoints
    await eventually(lambda: not endpoints[ENGINE].ready)
    assert endpoints[PLAIN].ready
    site.engine.set_faults(EngineFaults())
    await eventually(lambda: endpoints[ENGINE].ready)
