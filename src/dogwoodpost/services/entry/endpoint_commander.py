"""Sends fenced orders to endpoints through their agents."""

from __future__ import annotations

import asyncio
import uuid
from typing import TYPE_CHECKING

from dogwoodpost.core import ids
from dogwoodpost.core import messages
from dogwoodpost.errors import DogwoodpostError

if TYPE_CHECKING:
    from collections.abc import Sequence

    from dogwoodpost.core.attempts.sender import Sender
    from dogwoodpost.core.routing.endpoint import Endpoint
    from dogwoodpost.ports.peer_transport import PeerTransport

DEFAULT_TIMEOUT_S = 60.0


class EndpointCommandTimeoutError(DogwoodpostError):
    """No result came in time; the order may have been carried out."""


class EndpointCommander:
    """Sends orders and waits for their results."""

    def __init__(
        self,
        transport: PeerTransport,
        sender: Sender,
        *,
        timeout_s: float = DEFAULT_TIMEOUT_S,
    ) -> None:
        self._transport = transport
        self._sender = sender
        self._timeout_s = timeout_s
        self._waiting: dict[
            ids.OperationId, asyncio.Future[messages.EndpointCommandResult]
        ] = {}

    async def command(
        self,
        endpoint: Endpoint,
        shard: ids.ShardName,
        fencing_number: ids.FencingNumber,
        action: messages.EndpointAction,
        argument: str = '',
        fetch_from: Sequence[str] = (),
    ) -> messages.EndpointCommandResult:
        """Send an order to an endpoint and return its result.

        :raises TransportError: the order was surely not sent.
        :raises EndpointCommandTimeoutError: no result came in time.
        """
        command = messages.EndpointCommand(
            **self._sender.fields(),
            command_id=ids.OperationId(f'command/{uuid.uuid4().hex}'),
            shard=shard,
            fencing_number=fencing_number,
            endpoint_id=endpoint.endpoint_id,
            action=action,
            argument=argument,
            fetch_from=tuple(fetch_from),
        )
        future: asyncio.Future[messages.EndpointCommandResult] = (
            asyncio.get_running_loop().create_future()
        )
        self._waiting[command.command_id] = future
        try:
            await self._transport.send(endpoint.agent_address, command)
            async with asyncio.timeout(self._timeout_s):
                return await future
        except TimeoutError:
            raise EndpointCommandTimeoutError(
                f'{endpoint.endpoint_id}: no result of {action.value} within '
                f'{self._timeout_s} s'
            ) from None
        finally:
            del self._waiting[command.command_id]

    def handle(self, result: messages.EndpointCommandResult) -> None:
        """Take a result; one that nobody waits for is dropped."""
        future = self._waiting.get(result.command_id)
        if future is not None and not future.done():
            future.set_result(result)
