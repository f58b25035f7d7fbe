"""Tests which endpoints an entry treats as reachable."""

from __future__ import annotations

from dogwoodpost.core import messages
from dogwoodpost.services.entry.agent_directory import AgentDirectory
from tests.fakes.site import FakeListener


def hello(
    agent: str, sequence: int, *endpoints: str, **changes: object
) -> messages.AgentHello:
    fields = {
        'sender_id': agent,
        'sender_incarnation': 'i1',
        'sender_address': f'tcp://{agent}',
        'host_id': 'h',
        'availability_zone': 'z',
        'region': 'r',
        'sequence': sequence,
        'echo_sequence': 0,
        'endpoints': tuple(
            messages.EndpointState(endpoint_id=name, service='s')
            for name in endpoints
        ),
    }
    return messages.AgentHello(**{**fields, **changes})


def make_directory() -> tuple[AgentDirectory, FakeListener]:
    listener = FakeListener()
    return AgentDirectory(listener), listener


def test_silent_agent_loses_its_endpoints_until_it_is_heard() -> None:
    """Guards against sending work to an agent that was silent for 3 s."""
    directory, listener = make_directory()
    directory.record_hello(hello('a', 1, 'e1', 'e2'), 0.0)
    directory.remove_unreachable(2.9)
    assert set(listener.endpoints) == {'e1', 'e2'}
    assert directory.remove_unreachable(3.1) == []
    assert listener.endpoints == {}
    directory.record_hello(hello('a', 2, 'e1', echo_sequence=1), 3.5)
    assert set(listener.endpoints) == {'e1'}
    (gone,) = directory.remove_unreachable(9.6)
    assert gone.process_id == 'a'
    assert directory.find('a') is None


def test_agent_that_does_not_hear_the_entry_gets_no_work() -> None:
    """Guards against attempts over a link that works in one direction only."""
    directory, listener = make_directory()
    given_up = []
    for second in range(8):
        directory.record_hello(hello('a', second + 1, 'e1'), second)
        given_up += directory.remove_unreachable(second + 0.1)
        assert set(listener.endpoints) == ({'e1'} if second < 3 else set())
    assert {agent.process_id for agent in given_up} == {'a'}
    directory.record_hello(hello('a', 9, 'e1', echo_sequence=1), 8.0)
    assert set(listener.endpoints) == {'e1'}


def test_restart_and_leaving_update_the_endpoints() -> None:
    """Guards against attempts addressed to an agent's previous incarnation."""
    directory, listener = make_directory()
    directory.record_hello(hello('a', 9, 'e1'), 0.0)
    restarted = {'sender_incarnation': 'i2', 'sender_address': 'tcp://new'}
    directory.record_hello(hello('a', 1, 'e1', **restarted), 1.0)
    directory.record_hello(hello('a', 10, 'e1', 'e2'), 1.1)
    assert set(listener.endpoints) == {'e1'}
    assert listener.endpoints['e1'].agent_incarnation == 'i2'
    assert listener.endpoints['e1'].agent_address == 'tcp://new'
    directory.record_hello(hello('a', 2, 'e1', leaving=True, **restarted), 2)
    assert listener.endpoints['e1'].draining


def test_endpoint_that_moved_stays_with_its_new_agent() -> None:
    """Guards against the old agent's silence removing a moved endpoint."""
    directory, listener = make_directory()
    directory.record_hello(hello('old', 1, 'e1'), 0.0)
    directory.record_hello(hello('new', 1, 'e1'), 2.0)
    directory.remove_unreachable(3.5)
    assert listener.endpoints['e1'].agent_id == 'new'
    stale = messages.LoadReport(
        sender_id='old',
        sender_incarnation='i1',
        sender_address='tcp://old',
        loads=(
            messages.EndpointLoad(
                endpoint_id='e1', running_count=1, waiting_count=0
            ),
        ),
    )
    directory.record_load(stale, 3.5)
    assert listener.loads == {}
