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

# The largest request body (16 MiB) plus space for its headers.
MAX_MESSAGE_BYTES = 20 * 1024 * 1024
_SEND_TIMEOUT_MS = 1_000
_SEND_BUFFER_COUNT = 64
# Delay between attempts to send while the buffer is full.
_MIN_RETRY_DELAY_S = 0.001
_MAX_RETRY_DELAY_S = 0.02
_RECEIVE_BUFFER_COUNT = 256
# Closing an nng socket discards messages that are not yet written.
_CLOSE_DELAY_S = 0.1
# A receive that finds a queued message does not yield to the event loop, so
# the transport yields once after this number of such receives in a row.
_MAX_IMMEDIATE_RECEIVE_COUNT = 32


class _PeerSocket:
    """A Push socket that polls instead of using nng's asynchronous sends.

    If the socket is closed or the operation is cancelled during an nng
    asynchronous send, the operation may never end, or nng may panic and end
    the process.
    """

    def __init__(self, socket: Any) -> None:
        self._socket = socket

    async def send_with_timeout(self, data: bytes, timeout_s: float) -> None:
        """Send one message; retry with a delay while the buffer is full.

        :raises pynng.NNGException: the buffer was still full after
            ``timeout_s`` seconds, or the socket is closed.
        """
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + timeout_s
        retry_delay_s = _MIN_RETRY_DELAY_S
        while True:
            try:
                self._socket.send(data, block=False)
            except pynng.TryAgain:
                if loop.time() >= deadline_s:
                    raise
            else:
                return
            await asyncio.sleep(retry_delay_s)
            retry_delay_s = min(2 * retry_delay_s, _MAX_RETRY_DELAY_S)

    def close(self) -> None:
        """Close the socket; pending sends fail."""
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
        self._peer_sockets: dict[str, _PeerSocket] = {}
        self._closed = False
        self._undelivered: deque[bytes] = deque()
        self._immediate_receive_count = 0
        self._pull = _listen(ip, port, max_message_bytes)
        self._address = f'tcp://{self._pull.listeners[0].local_address}'

    @property
    def address(self) -> str:
        """Return the address at which peers reach this process."""
        return self._address

    async def send(self, address: str, message: AnyMessage) -> None:
        """Hand a message to the connection to a peer.

        :raises TransportError: the message was definitely not sent.
        """
        data = self._encoder.encode(message)
        name = type(message).__name__
        if len(data) > self._max_message_bytes:
            self._count_failure(name)
            raise TransportError(f'{name} of {len(data)} bytes is too large')
        try:
            await self._open_peer_socket(address).send_with_timeout(
                data, self._send_timeout_s
            )
        except pynng.NNGException as error:
            self._count_failure(name)
            raise TransportError(
                f'cannot send {name} to {address}: {error}'
            ) from error
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
        peer_socket = self._peer_sockets.pop(address, None)
        if peer_socket is not None:
            peer_socket.close()
            self._metrics.events.labels('peer_reconnect').inc()

    async def close(self) -> None:
        """Close all connections after a delay to write queued messages."""
        if self._closed:
            return
        self._closed = True
        if self._peer_sockets:
            await asyncio.sleep(_CLOSE_DELAY_S)
        while self._peer_sockets:
            _, peer_socket = self._peer_sockets.popitem()
            peer_socket.close()
        self._pull.close()

    async def _receive_bytes(self) -> bytes:
        if self._undelivered:
            return self._undelivered.popleft()
        cancellations_before = _cancellation_count()
        try:
            data = await self._receive_next()
        except pynng.NNGException as error:
            raise TransportError(
                f'cannot receive a message: {error}'
            ) from error
        if _cancellation_count() > cancellations_before:
            self._undelivered.append(data)
            raise asyncio.CancelledError
        return data

    async def _receive_next(self) -> bytes:
        self._immediate_receive_count += 1
        if self._immediate_receive_count >= _MAX_IMMEDIATE_RECEIVE_COUNT:
            self._immediate_receive_count = 0
            await asyncio.sleep(0)
        try:
            message = self._pull.recv_msg(block=False)
        except pynng.TryAgain:
            self._immediate_receive_count = 0
            message = await self._pull.arecv_msg()
        data: bytes = message.bytes
        return data

    def _open_peer_socket(self, address: str) -> _PeerSocket:
        if self._closed:
            raise TransportError('the transport is closed')
        peer_socket = self._peer_sockets.get(address)
        if peer_socket is None:
            peer_socket = _PeerSocket(_dial(address))
            self._peer_sockets[address] = peer_socket
        return peer_socket

    def _count_failure(self, name: str) -> None:
        self._metrics.peer_messages.labels('failed', name).inc()


def _cancellation_count() -> int:
    """Return how often the current task has been cancelled.

    pynng discards a cancellation that coincides with the end of its
    operation, so callers compare the count before and after.
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
        raise TransportError(
            f'cannot listen on {ip}:{port}: {error}'
        ) from error


def _dial(address: str) -> Any:
    socket = pynng.Push0(send_buffer_size=_SEND_BUFFER_COUNT)
    try:
        socket.dial(address, block=False)
    except pynng.NNGException as error:
        socket.close()
        raise TransportError(f'cannot dial {address}: {error}') from error
    return socket
