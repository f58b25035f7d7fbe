"""Load commands whose weights cannot be fetched to the host."""

from __future__ import annotations

import pytest

from dogwoodpost.core import ids
from dogwoodpost.core import messages
from dogwoodpost.errors import EndpointError
from dogwoodpost.errors import PlatformError
from dogwoodpost.services.agent.weights import AgentWeights


class FailingCache:
    """Cache whose sources all fail."""

    async def get_or_fetch(self, *_: object) -> bytes:
        raise PlatformError('no source')


@pytest.mark.parametrize(
    ('shard', 'argument', 'error'),
    [
        ('orders/minas/slate-lm', '2', 'has no weights'),
        ('weights/slate-lm', 'two', 'no weight version'),
        ('weights/slate-lm', '2', 'no source'),
    ],
)
async def test_unavailable_version_is_refused(
    shard: str, argument: str, error: str
) -> None:
    """Guards against loading a version that is not on the host."""
    command = messages.EndpointCommand(
        sender_id=ids.ProcessId('entry-1'),
        sender_incarnation=ids.Incarnation('e1'),
        sender_address='tcp://127.0.0.1:1',
        command_id=ids.OperationId('c1'),
        shard=ids.ShardName(shard),
        fencing_number=ids.FencingNumber(1),
        endpoint_id=ids.EndpointId('engine-1'),
        action=messages.EndpointAction.LOAD_WEIGHTS,
        argument=argument,
    )
    weights = AgentWeights(FailingCache(), 'http://127.0.0.1:1')
    with pytest.raises(EndpointError, match=error):
        await weights.fetch(command)
