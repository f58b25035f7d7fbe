"""Messages between processes over pynng Push and Pull sockets."""

from __future__ import annotations

import asyncio
from collections import deque
from typing import Any
from typing import TYPE_CHECKING

import msgspec
import pynng

from dogwoodpost.core.messages import AnyMessage
from dogwoodpost.errors import TransportError
from dogwoodpost.ports.peer_transport import PeerTransport

if TYPE_CHECKING:
    from dogwoodpost.observability import Metrics

# The largest request body (16 MiB) with room for its headers.
MAX_MESSAGE_BYTES = 20 * 1024 * 1024
_SEND_TIMEOUT_MS = 1_000
_SEND_BUFFER_COUNT = 64
# Between tries to send while the buffer is full.
_FIRST_PAUSE_S = 0.001
_LONGEST_PAUSE_S = 0.02
_RECEIVE_BUFFER_COUNT = 256
# nng discards what it has not yet written when a socket is closed.
_LINGER_S = 0.1
# Receives that find a message don't wait; after so many in a row the other
# tasks of the event loop get a turn.
_BURST_COUNT = 32


class _Peer:
    """A Push socket whose sends wait without nng's asynchronous operations.

    In nng, such an operation that is under way when its socket is closed or
    when it is cancelled may never end, or end the process with a panic.
    """

    def __init__(self, socket: Any) -> None:
        self._socket = socket

    async def push(self, data: bytes, timeout_s: float) -> None:
        """Send one message; wait while the buffer is full.

        :raises pynng.NNGException: no room in time, or the socket is closed.
        """
        loop = asyncio.get_running_loop()
        end_s = loop.time() + timeout_s
        pause_s = _FIRST_PAUSE_S
        while True:
            try:
                self._socket.send(data, block=False)
            except pynng.TryAgain:
                if loop.time() >= end_s:
                    raise
            else:
                return
            await asyncio.sleep(pause_s)
            pause_s = min(2 * pause_s, _LONGEST_PAUSE_S)

    def close(self) -> None:
        """Close the socket; waiting sends fail."""
        self._socket.close()


class NngPeerTransport(PeerTransport):
    """Listens on one Pull socket and opens one Push socket per peer."""

    def __init__(
        self,
        metrics: Metrics,
        *,
        ip: str = '127.0.0.1',
        port: int = 0,
        send_timeout_ms: int = _SEND_TIMEOUT_MS,
        max_message_bytes: int = MAX_MESSAGE_BYTES,
    ) -> None:
        self._metrics = metrics
        self._send_timeout_s = send_timeout_ms / 1000
        self._max_message_bytes = max_message_bytes
        self._encoder = msgspec.msgpack.Encoder()
        self._decoder = msgspec.msgpack.Decoder(AnyMessage)
        self._peers: dict[str, _Peer] = {}
        self._closed = False
        self._unread: deque[bytes] = deque()
        self._burst_count = 0
        self._pull = _listen(ip, port, max_message_bytes)
        self._address = f'tcp://{self._pull.listeners[0].local_address}'

    @property
    def address(self) -> str:
        """Return the address that peers reach this process at."""
        return self._address

    async def send(self, address: str, message: AnyMessage) -> None:
        """Hand a message to the connection to a peer.

        :raises TransportError: the message was surely not sent.
        """
        data = self._encoder.encode(message)
        name = type(message).__name__
        if len(data) > self._max_message_bytes:
            self._count_failure(name)
            raise TransportError(f'{name} of {len(data)} bytes is too large')
        try:
            await self._peer(address).push(data, self._send_timeout_s)
        except pynng.NNGException as error:
            self._count_failure(name)
            raise TransportError(f'{name} to {address}: {error}') from error
        self._metrics.peer_messages.labels('sent', name).inc()
        self._metrics.peer_bytes.labels('sent').inc(len(data))

    async def receive(self) -> AnyMessage:
        """Return the next message; malformed ones are counted and dropped.

        :raises TransportError: the transport is closed.
        """
        while True:
            data = await self._receive_bytes()
            self._metrics.peer_bytes.labels('received').inc(len(data))
            try:
                message: AnyMessage = self._decoder.decode(data)
            except (msgspec.MsgspecError, ValueError, RecursionError):
                self._metrics.events.labels('malformed_peer_message').inc()
                continue
            name = type(message).__name__
            self._metrics.peer_messages.labels('received', name).inc()
            return message

    def reconnect(self, address: str) -> None:
        """Drop the connection to a peer; the next send opens a new one."""
        peer = self._peers.pop(address, None)
        if peer is not None:
            peer.close()
            self._metrics.events.labels('peer_reconnect').inc()

    async def close(self) -> None:
        """Close all connections, after a moment for the last messages."""
        if self._closed:
            return
        self._closed = True
        if self._peers:
            await asyncio.sleep(_LINGER_S)
        while self._peers:
            _, peer = self._peers.popitem()
            peer.close()
        self._pull.close()

    async def _receive_bytes(self) -> bytes:
        if self._unread:
            return self._unread.popleft()
        cancel_count = _cancel_count()
        try:
            data = await self._next()
        except pynng.NNGException as error:
            raise TransportError(f'receive: {error}') from error
        if _cancel_count() > cancel_count:
            self._unread.append(data)
            raise asyncio.CancelledError
        return data

    async def _next(self) -> bytes:
        self._burst_count += 1
        if self._burst_count >= _BURST_COUNT:
            self._burst_count = 0
            await asyncio.sleep(0)
        try:
            message = self._pull.recv_msg(block=False)
        except pynng.TryAgain:
            self._burst_count = 0
            message = await self._pull.arecv_msg()
        data: bytes = message.bytes
        return data

    def _peer(self, address: str) -> _Peer:
        if self._closed:
            raise TransportError('the transport is closed')
        peer = self._peers.get(address)
        if peer is None:
            peer = _Peer(_dial(address))
            self._peers[address] = peer
        return peer

    def _count_failure(self, name: str) -> None:
        self._metrics.peer_messages.labels('failed', name).inc()


def _cancel_count() -> int:
    """Return how often the current task has been cancelled.

    pynng swallows a cancellation that meets the end of its operation, so the
    count is compared before and after.
    """
    task = asyncio.current_task()
    return 0 if task is None else task.cancelling()


def _listen(ip: str, port: int, max_message_bytes: int) -> Any:
    try:
        return pynng.Pull0(
            listen=f'tcp://{ip}:{port}',
            recv_max_size=max_message_bytes,
            recv_buffer_size=_RECEIVE_BUFFER_COUNT,
        )
    except pynng.NNGException as error:
        raise TransportError(f'listen on {ip}:{port}: {error}') from error


def _dial(address: str) -> Any:
    socket = pynng.Push0(send_buffer_size=_SEND_BUFFER_COUNT)
    try:
        socket.dial(address, block=False)
    except pynng.NNGException as error:
        socket.close()
        raise TransportError(f'dial {address}: {error}') from error
    return socket
