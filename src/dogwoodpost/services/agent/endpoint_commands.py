"""Executes commands for endpoints after checking their fencing number."""

from __future__ import annotations

import asyncio
from collections import OrderedDict
from typing import TYPE_CHECKING

from dogwoodpost.core import messages
from dogwoodpost.errors import EndpointError

if TYPE_CHECKING:
    from collections.abc import Mapping

    from dogwoodpost.core import ids
    from dogwoodpost.core.attempts import AgentAttempts
    from dogwoodpost.core.membership import FencingNumbers
    from dogwoodpost.core.membership import ProcessIdentity
    from dogwoodpost.observability import Metrics
    from dogwoodpost.ports.endpoint_client import EndpointClient
    from dogwoodpost.services.agent.weights import AgentWeights

_KEPT_RESULT_COUNT = 1_024

Action = messages.EndpointAction
Command = messages.EndpointCommand
Result = messages.EndpointCommandResult


class EndpointCommands:
    """Checks fencing numbers and forwards commands to endpoints.

    Commands for the same endpoint run one at a time.

    :param checks_fencing: endpoints that check fencing numbers themselves.
    """

    def __init__(
        self,
        identity: ProcessIdentity,
        clients: Mapping[ids.EndpointId, EndpointClient],
        checks_fencing: frozenset[ids.EndpointId],
        attempts: AgentAttempts,
        numbers: FencingNumbers,
        metrics: Metrics,
        weights: AgentWeights | None = None,
    ) -> None:
        self._sender_fields = identity.sender_fields()
        self._clients = clients
        self._checks_fencing = checks_fencing
        self._attempts = attempts
        self._fencing_numbers = numbers
        self._metrics = metrics
        self._weights = weights
        self._locks = {key: asyncio.Lock() for key in clients}
        self._results: OrderedDict[ids.OperationId, asyncio.Future[Result]] = (
            OrderedDict()
        )

    async def execute(self, command: Command) -> Result:
        """Execute a command once; a repeat of its id gets the first result."""
        existing = self._results.get(command.command_id)
        if existing is not None:
            return await asyncio.shield(existing)
        future = asyncio.get_running_loop().create_future()
        self._results[command.command_id] = future
        try:
            result = await self._execute(command)
        except BaseException:
            del self._results[command.command_id]
            future.cancel()
            raise
        future.set_result(result)
        self._drop_old_results()
        return result

    async def _execute(self, command: Command) -> Result:
        endpoint_id = command.endpoint_id
        client = self._clients.get(endpoint_id)
        if client is None:
            return self._result(command, 'no such endpoint at this agent')
        async with self._locks[endpoint_id]:
            # The check and the call share the lock, so that the endpoint never
            # gets a command with a lower number after one with a higher.
            refusal = self._fencing_numbers.refusal_reason(
                command.shard,
                command.fencing_number,
                endpoint_checks=endpoint_id in self._checks_fencing,
            )
            if refusal is not None:
                self._metrics.refusals.labels('fencing_number').inc()
                return self._result(command, refusal)
            try:
                await self._send(client, command)
            except EndpointError as error:
                return self._result(command, str(error))
        return self._result(command, None)

    async def _send(self, client: EndpointClient, command: Command) -> None:
        if command.action in (Action.DRAIN, Action.RESUME):
            serving = command.action is Action.RESUME
            self._attempts.set_rotation(command.endpoint_id, serving)
            return
        fetch_from = command.fetch_from
        if command.action is Action.LOAD_WEIGHTS and self._weights is not None:
            fetch_from = (await self._weights.fetch(command),)
        await client.command(
            command.action,
            command.argument,
            command.fencing_number,
            fetch_from,
        )

    def _result(self, command: Command, refusal: str | None) -> Result:
        return Result(
            **self._sender_fields,
            command_id=command.command_id,
            endpoint_id=command.endpoint_id,
            accepted=refusal is None,
            detail=refusal or '',
            highest_fencing_number=self._fencing_numbers.highest(
                command.shard
            ),
        )

    def _drop_old_results(self) -> None:
        for command_id in list(self._results)[:-_KEPT_RESULT_COUNT]:
            if self._results[command_id].done():
                del self._results[command_id]
