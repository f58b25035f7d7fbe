"""Sends fenced orders to endpoints through their agents."""

from __future__ import annotations

import asyncio
import uuid
from typing import TYPE_CHECKING

from dogwoodpost.core import ids
from dogwoodpost.core import messages
from dogwoodpost.errors import EndpointError
from dogwoodpost.errors import TransportError

if TYPE_CHECKING:
    from dogwoodpost.core.membership import ProcessIdentity
    from dogwoodpost.core.routing.endpoint import Endpoint
    from dogwoodpost.ports.peer_transport import PeerTransport

# The agent carries out an order once per id, so repeats are safe.
_REPEAT_PERIOD_S = 3.0
RESULT_TIMEOUT_S = 75.0


class EndpointCommander:
    """Waits for the result of each order."""

    def __init__(
        self,
        identity: ProcessIdentity,
        transport: PeerTransport,
        *,
        timeout_s: float = RESULT_TIMEOUT_S,
    ) -> None:
        self._sender = identity.sender_fields()
        self._transport = transport
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
        fetch_from: tuple[str, ...] = (),
    ) -> messages.EndpointCommandResult:
        """Send an order and return its result.

        :raises TransportError: the order was surely not sent.
        :raises EndpointError: no result came; the order may be carried out.
        """
        command = messages.EndpointCommand(
            **self._sender,
            command_id=ids.OperationId(uuid.uuid4().hex),
            shard=shard,
            fencing_number=fencing_number,
            endpoint_id=endpoint.endpoint_id,
            action=action,
            argument=argument,
            fetch_from=fetch_from,
        )
        future = asyncio.get_running_loop().create_future()
        self._waiting[command.command_id] = future
        try:
            await self._transport.send(endpoint.agent_address, command)
            async with asyncio.timeout(self._timeout_s):
                return await self._wait(endpoint, command, future)
        except TimeoutError:
            raise EndpointError(
                f'{endpoint.endpoint_id}: no result of {action.value}'
            ) from None
        finally:
            del self._waiting[command.command_id]

    def receive(self, result: messages.EndpointCommandResult) -> None:
        """Take a result; repeats and late ones are dropped."""
        future = self._waiting.get(result.command_id)
        if future is not None and not future.done():
            future.set_result(result)

    async def _wait(
        self,
        endpoint: Endpoint,
        command: messages.EndpointCommand,
        future: asyncio.Future[messages.EndpointCommandResult],
    ) -> messages.EndpointCommandResult:
        while True:
            await asyncio.wait({future}, timeout=_REPEAT_PERIOD_S)
            if future.done():
                return future.result()
            try:
                await self._transport.send(endpoint.agent_address, command)
            except TransportError:
                continue
