"""Fenced endpoint commands through the agent."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from dogwoodpost.core import messages
from dogwoodpost.core.messages import EndpointAction
from dogwoodpost.ports.attempt_runner import AttemptNotRunError
from tests.fakes.site import eventually
from tests.fakes.site import make_spec

if TYPE_CHECKING:
    from tests.fakes.site import Site

ENGINE = 'engine-1'
SHARD = 'weights/model'


async def command(
    site: Site, number: int, action: EndpointAction, argument: str = ''
) -> messages.EndpointCommandResult:
    endpoint = site.entry.listener.endpoints[ENGINE]
    return await site.entry.commander.command(
        endpoint, SHARD, number, action, argument, ()
    )


async def read_back(site: Site, number: int) -> None:
    """Wait until the agent has the stored fencing number."""
    site.entry.fencing_numbers[SHARD] = number
    numbers = site.agent.agent._fencing_numbers
    await eventually(lambda: numbers.highest(SHARD) >= number)


async def test_new_agent_refuses_until_the_number_is_read(
    site: Site,
) -> None:
    """Guards against a stale lease holder's command after a restart.

    A restarted agent does not know the highest fencing number until an entry
    sends the stored one.
    """
    first = await command(site, 7, EndpointAction.SET_ROLE, 'prefill')
    assert not first.accepted
    assert site.engine.state.role == 'both'
    await read_back(site, 7)
    old = await command(site, 6, EndpointAction.SET_ROLE, 'decode')
    assert not old.accepted
    assert old.highest_fencing_number == 7
    assert site.engine.state.role == 'both'
    current = await command(site, 7, EndpointAction.SET_ROLE, 'prefill')
    assert current.accepted
    assert site.engine.state.role == 'prefill'


async def test_weight_switch_is_reported(site: Site) -> None:
    """Guards against a weight switch that is not or wrongly reported."""
    await read_back(site, 1)
    site.engine.faults.refuse_swap_count = 1
    failed = await command(site, 1, EndpointAction.LOAD_WEIGHTS, '2')
    assert not failed.accepted
    assert failed.detail == '/control/weights/load: status 503'
    bad = await command(site, 1, EndpointAction.LOAD_WEIGHTS, 'two')
    assert not bad.accepted
    for action in (EndpointAction.LOAD_WEIGHTS, EndpointAction.SWITCH_WEIGHTS):
        assert (await command(site, 1, action, '2')).accepted
    endpoints = site.entry.listener.endpoints
    await eventually(lambda: endpoints[ENGINE].weight_version == 2)


async def test_repeated_command_is_executed_once(site: Site) -> None:
    """Guards against executing a command again when its result was lost."""
    await read_back(site, 1)
    endpoint = site.entry.listener.endpoints[ENGINE]
    order = messages.EndpointCommand(
        **site.entry.identity.sender_fields(),
        command_id='c1',
        shard=SHARD,
        fencing_number=1,
        endpoint_id=endpoint.endpoint_id,
        action=EndpointAction.LOAD_ADAPTER,
        argument='adapter-1',
    )
    commands = site.agent.agent._commands
    results = [await commands.execute(order) for _ in range(2)]
    assert results[0] == results[1] and results[0].accepted
    assert site.engine.state.adapters == {'adapter-1'}


async def test_drained_endpoint_gets_no_attempts(site: Site) -> None:
    """Guards against new attempts at an endpoint that will be stopped."""
    await read_back(site, 1)
    assert (await command(site, 1, EndpointAction.DRAIN)).accepted
    with pytest.raises(AttemptNotRunError):
        await site.entry.run(ENGINE, make_spec('t1'))
    assert (await command(site, 1, EndpointAction.RESUME)).accepted
    head, *_ = await site.entry.run(ENGINE, make_spec('t2'))
    assert head.status == 200


async def test_load_and_cache_events_reach_the_entry(site: Site) -> None:
    """Guards against a router without loads and cached prefixes."""
    listener = site.entry.listener
    await eventually(lambda: set(listener.loads) == {ENGINE, 'plain-1'})
    body = b'{"model":"slate-lm","prompt":"' + b'x' * 600 + b'"}'
    await site.entry.run(ENGINE, make_spec('t1', body=body))
    await eventually(
        lambda: sum(len(e.stored) for e in listener.cache_events) >= 2
    )
