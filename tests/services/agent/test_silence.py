"""Connections and processes that fall silent."""

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
    """Guards against a response lost with the connection it began on."""
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


async def test_both_sides_give_up_a_dead_peer(site: Site) -> None:
    """Guards against work, and waits, for a process that has died."""
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


async def test_restarted_entry_frees_its_old_work(site: Site) -> None:
    """Guards against work for callers whose entry has restarted."""
    spec = make_spec('t1', body=body('p', stream=True, max_tokens=10**6))
    running = asyncio.create_task(site.entry.run(ENGINE, spec))
    await eventually(lambda: site.engine.batch.running_count == 1)
    beat = messages.EntryHeartbeat(
        sender_id=site.entry.identity.process_id,
        sender_incarnation='e2',
        sender_address=site.entry.identity.address,
        sequence=1,
        echo_sequence=0,
        revision=1,
    )
    address = site.entry.listener.endpoints[ENGINE].agent_address
    await site.entry.transport.send(address, beat)
    end = (await running)[-1]
    assert end.outcome is AttemptOutcome.CANCELLED
    assert site.engine.batch.running_count == 0


async def test_order_without_a_result_is_an_error(site: Site) -> None:
    """Guards against an order that waits for ever for a silent endpoint."""
    site.entry.fencing_numbers['weights/model'] = 1
    known = site.agent.agent._numbers
    await eventually(lambda: known.highest('weights/model') == 1)
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
    """Guards against work for an endpoint that answers nothing."""
    site.engine.set_faults(EngineFaults(crashed=True))
    endpoints = site.entry.listener.endpoints
    await eventually(lambda: not endpoints[ENGINE].ready)
    assert endpoints[PLAIN].ready
    site.engine.set_faults(EngineFaults())
    await eventually(lambda: endpoints[ENGINE].ready)
