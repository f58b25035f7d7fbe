"""Contract tests of the peer transport."""

from __future__ import annotations

import asyncio
import contextlib
import threading
from typing import TYPE_CHECKING

import msgspec
import pynng
import pytest
import pytest_asyncio

from dogwoodpost.adapters.nng import NngPeerTransport
from dogwoodpost.core import messages
from dogwoodpost.errors import TransportError
from dogwoodpost.observability import Metrics

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

MAX_MESSAGE_BYTES = 4_096


def make_message(index: int, size: int = 1) -> messages.ResponseChunk:
    return messages.ResponseChunk(
        sender_id='sender',
        sender_incarnation='i',
        sender_address='a',
        attempt_id='x',
        index=index,
        data=b'd' * size,
    )


@pytest_asyncio.fixture
async def pair() -> AsyncIterator[tuple[NngPeerTransport, NngPeerTransport]]:
    transports = [
        NngPeerTransport(
            Metrics(), send_timeout_ms=100, max_message_bytes=MAX_MESSAGE_BYTES
        )
        for _ in range(2)
    ]
    yield tuple(transports)
    for transport in transports:
        await transport.close()


async def receive(transport: NngPeerTransport) -> messages.AnyMessage:
    async with asyncio.timeout(20):
        return await transport.receive()


def counter_value(
    transport: NngPeerTransport, counter: str, **labels: str
) -> float | None:
    registry = transport._metrics.registry
    return registry.get_sample_value(f'dogwoodpost_{counter}_total', labels)


async def test_messages_arrive_in_order_and_are_counted(pair) -> None:
    """Guards against loss and reordering on one connection."""
    sender, receiver = pair
    sent = [make_message(index) for index in range(200)]
    for message in sent:
        await sender.send(receiver.address, message)
    assert [await receive(receiver) for _ in sent] == sent
    labels = {'type': 'ResponseChunk'}
    assert (
        counter_value(sender, 'peer_messages', direction='sent', **labels)
        == 200
    )
    received = {'direction': 'received', **labels}
    assert counter_value(receiver, 'peer_messages', **received) == 200


async def test_reconnect_opens_a_new_connection(pair) -> None:
    """Guards against a reconnect after which no message arrives."""
    sender, receiver = pair
    await sender.send(receiver.address, make_message(0))
    assert (await receive(receiver)).index == 0
    sender.reconnect(receiver.address)
    await sender.send(receiver.address, make_message(1))
    assert (await receive(receiver)).index == 1


@pytest.mark.parametrize(
    ('address', 'size'),
    [
        ('tcp://127.0.0.1:1', 1),
        ('not an address', 1),
        ('self', MAX_MESSAGE_BYTES + 1),
    ],
)
async def test_unsent_message_is_an_error(
    pair, address: str, size: int
) -> None:
    """Guards against sends that block forever or fail silently."""
    sender, receiver = pair
    if address == 'self':
        address = receiver.address
    with pytest.raises(TransportError):
        # The first messages fit into the send buffer.
        for index in range(1_000):
            await sender.send(address, make_message(index, size))


async def test_slow_peer_blocks_instead_of_dropping(pair) -> None:
    """Guards against lost messages when the receiver is too slow."""
    sender, receiver = pair
    sent_count = 0
    with pytest.raises(TransportError):
        for index in range(100_000):
            await sender.send(receiver.address, make_message(index, 3_000))
            sent_count += 1
    received = [(await receive(receiver)).index for _ in range(sent_count)]
    assert received == list(range(sent_count))


@pytest.mark.parametrize(
    'data',
    [
        b'',
        b'\xc1',
        b'\x91' * 3_000,
        msgspec.msgpack.encode({'type': 'Unknown'}),
        msgspec.msgpack.encode({'type': 'ResponseChunk', 'index': 'x'}),
        b'\x81\xa4type\xa2\xff\xff',
    ],
)
async def test_malformed_message_is_dropped(pair, data: bytes) -> None:
    """Guards against a receiver that stops after a malformed message."""
    sender, receiver = pair
    with pynng.Push0(dial=receiver.address) as socket:
        await socket.asend(data)
        await asyncio.sleep(0.01)
        await sender.send(receiver.address, make_message(7))
        assert (await receive(receiver)).index == 7
    dropped = {'name': 'malformed_peer_message'}
    while counter_value(receiver, 'events', **dropped) != 1:
        pending = asyncio.ensure_future(receiver.receive())
        await asyncio.sleep(0.05)
        pending.cancel()


async def test_oversized_message_of_a_peer_is_dropped(pair) -> None:
    """Guards against unbounded memory use by a peer's large message."""
    sender, receiver = pair
    with pynng.Push0(dial=receiver.address) as socket:
        await socket.asend(b'x' * (MAX_MESSAGE_BYTES + 1))
        await sender.send(receiver.address, make_message(7))
        assert (await receive(receiver)).index == 7


async def test_cancellation_is_not_swallowed(pair) -> None:
    """Guards against a lost cancellation or message.

    pynng can discard a cancellation that coincides with a message."""
    sender, receiver = pair
    for index in range(20):
        receiving = asyncio.create_task(receive(receiver))
        await asyncio.sleep(0.01)
        await sender.send(receiver.address, make_message(index))
        # The message arrives while the event loop is busy, so that the
        # receiver resumes with both the message and its cancellation.
        threading.Event().wait(0.02)
        receiving.cancel()
        with pytest.raises(asyncio.CancelledError):
            await receiving
        assert (await receive(receiver)).index == index


async def test_closed_transport_refuses(pair) -> None:
    """Guards against a send that hangs on a closed transport."""
    sender, receiver = pair
    await sender.close()
    with pytest.raises(TransportError):
        await sender.send(receiver.address, make_message(0))


async def test_reconnect_during_blocked_sends_ends_them_all(
    pair: tuple[NngPeerTransport, NngPeerTransport],
) -> None:
    """Guards against sends that never end, and against a panic in nng.

    Both occurred when a socket was closed while a send waited on it.
    """
    sender, _ = pair
    unreachable = 'tcp://127.0.0.1:9'

    async def send_many() -> None:
        for index in range(400):
            with contextlib.suppress(TransportError):
                await sender.send(unreachable, make_message(index))
            await asyncio.sleep(0)

    async with asyncio.timeout(60):
        for _ in range(10):
            senders = [asyncio.create_task(send_many()) for _ in range(4)]
            for _ in range(5):
                await asyncio.sleep(0.02)
                sender.reconnect(unreachable)
            for task in senders:
                task.cancel()
            ended = await asyncio.gather(*senders, return_exceptions=True)
            assert len(ended) == len(senders)
