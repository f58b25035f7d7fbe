"""Carries out fenced orders to endpoints."""

from __future__ import annotations

import asyncio
from typing import Protocol
from typing import TYPE_CHECKING

import structlog

from dogwoodpost.core import ids
from dogwoodpost.core import messages
from dogwoodpost.core.membership.fencing_guard import FencingVerdict
from dogwoodpost.core.messages import EndpointAction
from dogwoodpost.errors import DogwoodpostError
from dogwoodpost.errors import EndpointError
from dogwoodpost.errors import TransportError

if TYPE_CHECKING:
    from collections.abc import Mapping

    from dogwoodpost.core.attempts.sender import Sender
    from dogwoodpost.core.membership.fencing_guard import FencingGuard
    from dogwoodpost.ports.endpoint_client import EndpointClient
    from dogwoodpost.ports.peer_transport import PeerTransport
    from dogwoodpost.services.agent.endpoint_slot import EndpointSlot

# Results that repeated commands get again.
MAX_RESULT_COUNT = 1_000
_OWN_ACTIONS = frozenset({EndpointAction.DRAIN, EndpointAction.RESUME})
_WEIGHT_ACTIONS = frozenset(
    {EndpointAction.LOAD_WEIGHTS, EndpointAction.SWITCH_WEIGHTS}
)

_logger = structlog.get_logger(__name__)


class WeightHandler(Protocol):
    """Loads weights that other agents or the weight store have."""

    async def carry_out(
        self, client: EndpointClient, command: messages.EndpointCommand
    ) -> None:
        """Carry out an order to load or switch weights.

        :raises DogwoodpostError: the order failed.
        """


class CommandRunner:
    """Checks the fencing number of each order directly before its call."""

    def __init__(
        self,
        *,
        slots: Mapping[ids.EndpointId, EndpointSlot],
        guard: FencingGuard,
        transport: PeerTransport,
        sender: Sender,
        weight_handler: WeightHandler | None = None,
    ) -> None:
        self._slots = slots
        self._guard = guard
        self._transport = transport
        self._sender = sender
        self._weight_handler = weight_handler
        self._locks = {endpoint_id: asyncio.Lock() for endpoint_id in slots}
        self._tasks: dict[ids.OperationId, asyncio.Task[None]] = {}
        self._results: dict[
            ids.OperationId, messages.EndpointCommandResult
        ] = {}

    def start(self, command: messages.EndpointCommand) -> None:
        """Carry out an order once; a copy gets the same result."""
        if command.command_id not in self._tasks:
            task = asyncio.ensure_future(self._run(command))
            self._tasks[command.command_id] = task
            task.add_done_callback(
                lambda _: self._tasks.pop(command.command_id)
            )

    async def close(self) -> None:
        """Wait for the orders in progress."""
        if self._tasks:
            await asyncio.wait(self._tasks.values())

    async def _run(self, command: messages.EndpointCommand) -> None:
        result = self._results.get(command.command_id)
        if result is None:
            result = await self._result(command)
            self._results[command.command_id] = result
            if len(self._results) > MAX_RESULT_COUNT:
                del self._results[next(iter(self._results))]
        try:
            await self._transport.send(command.sender_address, result)
        except TransportError as error:
            _logger.warning('command_result_not_sent', error=str(error))

    async def _result(
        self, command: messages.EndpointCommand
    ) -> messages.EndpointCommandResult:
        slot = self._slots.get(command.endpoint_id)
        if slot is None:
            return self._answer(command, 'unknown endpoint')
        async with self._locks[command.endpoint_id]:
            # While the order waited, one with a higher number may have come.
            verdict = self._guard.check(
                command.shard,
                command.fencing_number,
                endpoint_checks=slot.checks_fencing
                and command.action not in _OWN_ACTIONS,
            )
            if verdict is not FencingVerdict.ACCEPTED:
                return self._answer(command, verdict.value)
            try:
                await self._carry_out(slot, command)
            except DogwoodpostError as error:
                return self._answer(command, str(error) or repr(error))
        return self._answer(command, '', accepted=True)

    async def _carry_out(
        self, slot: EndpointSlot, command: messages.EndpointCommand
    ) -> None:
        action = command.action
        _logger.info(
            'endpoint_command',
            endpoint=slot.endpoint_id,
            action=action.value,
            fencing_number=command.fencing_number,
        )
        if action in _OWN_ACTIONS:
            slot.draining = action is EndpointAction.DRAIN
        elif action in _WEIGHT_ACTIONS and command.fetch_from:
            if self._weight_handler is None:
                raise EndpointError('this agent fetches no weights')
            await self._weight_handler.carry_out(slot.client, command)
        else:
            await slot.client.command(
                action, command.argument, command.fencing_number
            )
        if action is EndpointAction.SWITCH_WEIGHTS:
            slot.set_weight_version(command.argument)

    def _answer(
        self,
        command: messages.EndpointCommand,
        detail: str,
        *,
        accepted: bool = False,
    ) -> messages.EndpointCommandResult:
        return messages.EndpointCommandResult(
            **self._sender.fields(),
            command_id=command.command_id,
            endpoint_id=command.endpoint_id,
            accepted=accepted,
            detail=detail,
            highest_fencing_number=self._guard.highest(command.shard),
        )
