"""Peer transport over nng's Push and Pull sockets."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import msgspec
import pynng
import structlog

from dogwoodpost.core import messages
from dogwoodpost.errors import TransportError
from dogwoodpost.ports.peer_transport import PeerTransport

if TYPE_CHECKING:
    from dogwoodpost.config import ListenAddress
    from dogwoodpost.core import ids
    from dogwoodpost.observability import Metrics

# Twice the largest body that an entry accepts by default.
MAX_MESSAGE_BYTES = 32 * 1024 * 1024
SEND_TIMEOUT_MS = 1_000
# nng dials again after this long; a peer that restarts is found soon.
RECONNECT_MIN_MS = 50
RECONNECT_MAX_MS = 1_000
# A message that nng buffers for an unreachable peer would count as sent, and
# its attempt as possibly run. Without a buffer the send times out instead.
SEND_BUFFER_COUNT = 0
RECEIVE_BUFFER_COUNT = 1_024
# Receives that find a message waiting don't suspend; after so many in a row
# the other tasks of the event loop get a turn.
RECEIVE_BURST_COUNT = 32

_logger = structlog.get_logger(__name__)


class NngPeerTransport(PeerTransport):
    """One Pull socket for all peers and one Push socket per peer."""

    def __init__(
        self,
        listen: ListenAddress,
        metrics: Metrics,
        process_id: ids.ProcessId,
        incarnation: ids.Incarnation,
        *,
        send_timeout_ms: int = SEND_TIMEOUT_MS,
        max_message_bytes: int = MAX_MESSAGE_BYTES,
    ) -> None:
        self.process_id = process_id
        self.incarnation = incarnation
        self._metrics = metrics
        self._send_timeout_ms = send_timeout_ms
        self._max_message_bytes = max_message_bytes
        self._encoder = msgspec.msgpack.Encoder(enc_hook=_plain)
        self._decoder = msgspec.msgpack.Decoder(messages.AnyMessage)
        self._push_sockets: dict[str, pynng.Push0] = {}
        self._closed = False
        self._burst_count = 0
        self._pull = pynng.Pull0(
            recv_max_size=max_message_bytes,
            recv_buffer_size=RECEIVE_BUFFER_COUNT,
        )
        try:
            self._pull.listen(f'tcp://{listen.ip}:{listen.port}')
        except pynng.NNGException as error:
            self._pull.close()
            raise TransportError(
                f'cannot listen on {listen.ip}:{listen.port}: {error}'
            ) from error
        self._address = str(self._pull.listeners[0].local_address)

    @property
    def address(self) -> str:
        """Return the address that peers reach this process at."""
        return self._address

    async def send(self, address: str, message: messages.AnyMessage) -> None:
        """Hand a message to the connection to a peer."""
        data = self._encoder.encode(message)
        if len(data) > self._max_message_bytes:
            raise TransportError(
                f'message of {len(data)} bytes is over the limit of '
                f'{self._max_message_bytes}'
            )
        push = self._push_socket(address)
        try:
            await self._push(push, data)
        except pynng.NNGException as error:
            self._metrics.events.labels('peer_send_failed').inc()
            raise TransportError(f'{address}: {error}') from error
        name = type(message).__name__
        self._metrics.peer_messages.labels('sent', name).inc()
        self._metrics.peer_bytes.labels('sent').inc(len(data))

    async def receive(self) -> messages.AnyMessage:
        """Return the next message; malformed ones are counted and dropped."""
        while True:
            try:
                data = await self._pull_next()
            except pynng.NNGException as error:
                raise TransportError(f'cannot receive: {error}') from error
            self._metrics.peer_bytes.labels('received').inc(len(data))
            try:
                message: messages.AnyMessage = self._decoder.decode(data)
            except (msgspec.MsgspecError, UnicodeDecodeError) as error:
                self._metrics.events.labels('peer_message_malformed').inc()
                _logger.warning('peer_message_malformed', error=str(error))
                continue
            name = type(message).__name__
            self._metrics.peer_messages.labels('received', name).inc()
            return message

    def reconnect(self, address: str) -> None:
        """Drop the connection to a peer; the next send opens a new one."""
        push = self._push_sockets.pop(address, None)
        if push is not None:
            self._metrics.events.labels('peer_reconnect').inc()
            push.close()

    async def close(self) -> None:
        """Close all connections."""
        self._closed = True
        for push in self._push_sockets.values():
            push.close()
        self._push_sockets.clear()
        self._pull.close()

    async def _push(self, push: pynng.Push0, data: bytes) -> None:
        # Most sends find room; only the others pay for a thread switch.
        try:
            push.send(data, block=False)
        except pynng.TryAgain:
            await push.asend(data)

    async def _pull_next(self) -> bytes:
        self._burst_count += 1
        if self._burst_count >= RECEIVE_BURST_COUNT:
            self._burst_count = 0
            await asyncio.sleep(0)
        try:
            data: bytes = self._pull.recv(block=False)
        except pynng.TryAgain:
            self._burst_count = 0
            data = await self._pull.arecv()
        return data

    def _push_socket(self, address: str) -> pynng.Push0:
        if self._closed:
            raise TransportError('the transport is closed')
        push = self._push_sockets.get(address)
        if push is None:
            push = self._dial(address)
            self._push_sockets[address] = push
        return push

    def _dial(self, address: str) -> pynng.Push0:
        push = pynng.Push0(
            send_timeout=self._send_timeout_ms,
            send_buffer_size=SEND_BUFFER_COUNT,
            reconnect_time_min=RECONNECT_MIN_MS,
            reconnect_time_max=RECONNECT_MAX_MS,
        )
        try:
            push.dial(f'tcp://{address}', block=False)
        except pynng.NNGException as error:
            push.close()
            raise TransportError(f'{address}: {error}') from error
        return push


def _plain(value: object) -> str:
    """Encode subclasses of str, such as header names of aiohttp."""
    if isinstance(value, str):
        return str.__str__(value)
    raise TypeError(f'{type(value).__name__} is no part of a message')
