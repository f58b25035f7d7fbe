"""Sends commands with fencing numbers to endpoints through their agents."""

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

# The agent executes a command once per command id, so resending is safe.
_RESEND_INTERVAL_S = 3.0
RESULT_TIMEOUT_S = 75.0


class EndpointCommander:
    """Sends commands to agents, resends them and waits for their results."""

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
        self._pending_results: dict[
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
        """Send a command to an endpoint's agent and return its result.

        :raises TransportError: the command was not sent.
        :raises EndpointError: no result arrived in time; the agent may have
            executed the command or may execute it later.
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
        result_future = asyncio.get_running_loop().create_future()
        self._pending_results[command.command_id] = result_future
        try:
            await self._transport.send(endpoint.agent_address, command)
            async with asyncio.timeout(self._timeout_s):
                return await self._wait_for_result(
                    endpoint, command, result_future
                )
        except TimeoutError:
            raise EndpointError(
                f'{endpoint.endpoint_id}: no result of command '
                f'{action.value} arrived in time'
            ) from None
        finally:
            del self._pending_results[command.command_id]

    def receive(self, result: messages.EndpointCommandResult) -> None:
        """Handle a command result; repeated and late results are ignored."""
        result_future = self._pending_results.get(result.command_id)
        if result_future is not None and not result_future.done():
            result_future.set_result(result)

    async def _wait_for_result(
        self,
        endpoint: Endpoint,
        command: messages.EndpointCommand,
        result_future: asyncio.Future[messages.EndpointCommandResult],
    ) -> messages.EndpointCommandResult:
        while True:
            await asyncio.wait({result_future}, timeout=_RESEND_INTERVAL_S)
            if result_future.done():
                return result_future.result()
            try:
                await self._transport.send(endpoint.agent_address, command)
            except TransportError:
                continue
