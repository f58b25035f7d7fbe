"""Measures processor time, bytes and memory per unit of control work."""

from __future__ import annotations

import asyncio
import json
import multiprocessing
import random
import subprocess
import sys
import time
import tracemalloc
from typing import Any
from typing import TYPE_CHECKING

import msgspec

from dogwoodpost.adapters.nng.transport import NngPeerTransport
from dogwoodpost.core import ids
from dogwoodpost.core import messages
from dogwoodpost.core.configuration import apply_delta
from dogwoodpost.core.configuration import ClientAccount
from dogwoodpost.core.configuration import compute_delta
from dogwoodpost.core.configuration import Configuration
from dogwoodpost.core.configuration import KeyRecord
from dogwoodpost.core.keys import KeyIndex
from dogwoodpost.core.routing.route_query import RouteQuery
from dogwoodpost.core.routing.router import Router
from dogwoodpost.core.usage import UsageLedger
from dogwoodpost.observability import Metrics
from dogwoodpost.ports.usage_reports import UsageFigures
from dogwoodpost.services.entry.agent_directory import AgentDirectory

if TYPE_CHECKING:
    from collections.abc import Callable
    from multiprocessing.connection import Connection

ENDPOINT_COUNT = 3_700
ENDPOINTS_PER_AGENT = 11
ACCOUNT_COUNT = 200
KEY_COUNT = 1_000
MESSAGE_COUNT = 1_500
SERVICE = ids.ServiceName('slate-lm')
# Rounds of each timing; the fastest, which is the least disturbed, counts.
_ROUND_COUNT = 5


class Slope(msgspec.Struct, frozen=True, kw_only=True):
    """Cost of one unit of work on this machine."""

    name: str
    cpu_us: float = 0.0
    wire_bytes: int = 0
    memory_bytes: float = 0.0


def _cpu_us(work: Callable[[], object], count: int) -> float:
    """Return the processor time per call in µs, in the fastest round."""
    best_s = float('inf')
    for _ in range(_ROUND_COUNT):
        start_s = time.process_time()
        for _ in range(count):
            work()
        best_s = min(best_s, time.process_time() - start_s)
    return best_s / count * 1e6


def _sender(number: int) -> dict[str, Any]:
    return {
        'sender_id': f'agent-zone-a-{number:04d}',
        'sender_incarnation': f'{number:032x}',
        'sender_address': f'tcp://10.0.{number // 250}.{number % 250}:7401',
    }


def agent_hello(number: int, sequence: int = 1) -> messages.AgentHello:
    """Return a heartbeat of an agent with its endpoints."""
    return messages.AgentHello(
        **_sender(number),
        host_id=ids.HostId(f'host-zone-a-{number:04d}'),
        availability_zone=ids.AvailabilityZone('montevideo-a'),
        region=ids.Region('montevideo'),
        sequence=sequence,
        echo_sequence=sequence,
        endpoints=tuple(
            messages.EndpointState(
                endpoint_id=ids.EndpointId(f'slate-lm-{number:04d}-{index}'),
                service=SERVICE,
                weight_version=ids.WeightVersion(1234),
            )
            for index in range(ENDPOINTS_PER_AGENT)
        ),
    )


def load_report(number: int) -> messages.LoadReport:
    """Return a load report of an agent's endpoints."""
    return messages.LoadReport(
        **_sender(number),
        loads=tuple(
            messages.EndpointLoad(
                endpoint_id=ids.EndpointId(f'slate-lm-{number:04d}-{index}'),
                running_count=17,
                waiting_count=2,
                running_tokens=34_567,
                age_ms=420,
                weight_version=ids.WeightVersion(1234),
            )
            for index in range(ENDPOINTS_PER_AGENT)
        ),
    )


def entry_heartbeat() -> messages.EntryHeartbeat:
    """Return a heartbeat of an entry that holds two leases."""
    return messages.EntryHeartbeat(
        **_sender(1),
        sequence=123_456,
        echo_sequence=123_456,
        revision=ids.Revision(98_765),
        fencing_numbers={'weights/slate-lm': 17, 'rollout/trainer-3': 4},
    )


def measure_messages() -> list[Slope]:
    """Return the costs of sending and receiving through pynng."""
    samples: list[messages.AnyMessage] = [
        agent_hello(1),
        load_report(1),
        entry_heartbeat(),
    ]
    slopes = []
    for sample in samples:
        name = type(sample).__name__
        sent_us, received_us = _transport_cpu_us(sample)
        size = len(msgspec.msgpack.encode(sample))
        slopes.append(
            Slope(name=f'send {name}', cpu_us=sent_us, wire_bytes=size)
        )
        slopes.append(
            Slope(name=f'receive {name}', cpu_us=received_us, wire_bytes=size)
        )
    return slopes


def _transport_cpu_us(sample: messages.AnyMessage) -> tuple[float, float]:
    """Send to another process; return the µs per message of each side."""
    context = multiprocessing.get_context('spawn')
    local_end, remote_end = context.Pipe()
    process = context.Process(target=_receive_process, args=(remote_end,))
    process.start()
    address = local_end.recv()
    sent_us = asyncio.run(_send_all(address, sample))
    received_us = local_end.recv()
    process.join()
    return sent_us, received_us


def _receive_process(connection: Connection) -> None:
    asyncio.run(_receive_all(connection))


async def _receive_all(connection: Connection) -> None:
    transport = NngPeerTransport(Metrics())
    connection.send(transport.address)
    await transport.receive()
    best_s = float('inf')
    for _ in range(_ROUND_COUNT):
        start_s = time.process_time()
        for _ in range(MESSAGE_COUNT):
            await transport.receive()
        best_s = min(best_s, time.process_time() - start_s)
    connection.send(best_s / MESSAGE_COUNT * 1e6)
    await transport.close()


async def _send_all(address: str, sample: messages.AnyMessage) -> float:
    transport = NngPeerTransport(Metrics())
    await transport.send(address, sample)
    best_s = float('inf')
    for _ in range(_ROUND_COUNT):
        start_s = time.process_time()
        for _ in range(MESSAGE_COUNT):
            await transport.send(address, sample)
            # Yields after each message: heartbeats are far apart, and a full
            # pipeline would hide the cost of wake-ups.
            await asyncio.sleep(0.0)
        best_s = min(best_s, time.process_time() - start_s)
    await asyncio.sleep(0.5)
    await transport.close()
    return best_s / MESSAGE_COUNT * 1e6


def measure_entry() -> list[Slope]:
    """Return the costs of an entry's directory and router."""
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    router = Router(
        ids.AvailabilityZone('montevideo-a'),
        ids.Region('montevideo'),
        random.Random(1),
    )
    directory = AgentDirectory(router)
    agent_count = ENDPOINT_COUNT // ENDPOINTS_PER_AGENT
    for number in range(agent_count):
        directory.record_hello(agent_hello(number), 0.0)
        directory.record_load(load_report(number), 0.0)
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    sequence = iter(range(2, 1_000_000))
    query = RouteQuery(
        service=SERVICE, prefix=tuple(range(1, 33)), prompt_tokens=2_000
    )
    sample_hello = agent_hello(5)
    report = load_report(5)

    def next_hello() -> None:
        number = next(sequence)
        directory.record_hello(
            msgspec.structs.replace(
                sample_hello, sequence=number, echo_sequence=number
            ),
            float(number),
        )

    memory = (after - before) / (agent_count * ENDPOINTS_PER_AGENT)
    return [
        Slope(name='endpoint known to an entry', memory_bytes=memory),
        Slope(
            name='AgentHello recorded at an entry',
            cpu_us=_cpu_us(next_hello, 500),
        ),
        Slope(
            name='LoadReport recorded at an entry',
            cpu_us=_cpu_us(lambda: directory.record_load(report, 1.0), 500),
        ),
        Slope(
            name='routing decision among 3,700 endpoints',
            cpu_us=_cpu_us(lambda: router.choose(query, 1.0), 500),
        ),
    ]


def _configuration(limit: int) -> Configuration:
    accounts = [ids.ClientAccountId(f'acct-{n}') for n in range(limit)]
    return Configuration(
        revision=ids.Revision(1),
        client_accounts={
            name: ClientAccount(client_account_id=name) for name in accounts
        },
        keys={
            ids.KeyId(f'key-{n}'): KeyRecord(
                key_id=ids.KeyId(f'key-{n}'),
                client_account_id=accounts[n % ACCOUNT_COUNT],
                digest=f'{n:064x}',
            )
            for n in range(KEY_COUNT)
        },
    )


def measure_configuration() -> list[Slope]:
    """Return the costs of a revision with one new client account."""
    base = _configuration(ACCOUNT_COUNT)
    changed = _configuration(ACCOUNT_COUNT + 1)
    delta = compute_delta(base, changed)
    revised = apply_delta(base, delta)
    return [
        Slope(
            name='configuration revision applied',
            cpu_us=_cpu_us(lambda: apply_delta(base, delta), 50),
            wire_bytes=len(msgspec.json.encode(delta)),
        ),
        Slope(
            name='key index of 1,000 keys built',
            cpu_us=_cpu_us(lambda: KeyIndex(revised.keys.values()), 50),
        ),
    ]


def measure_usage() -> list[Slope]:
    """Return the costs of counting and of one write of all totals."""
    ledger = UsageLedger(ids.HostId('host'), ids.Incarnation('1' * 32), 60)
    ledger.learn_open_windows(ids.UsageWindow(0), 1, 0.0)
    figures = UsageFigures(
        request_count=1_000,
        prompt_tokens=2_000_000,
        completion_tokens=500_000,
    )
    accounts = [ids.ClientAccountId(f'acct-{n}') for n in range(ACCOUNT_COUNT)]
    sizes = []

    def write() -> None:
        ledger.record(accounts[0], figures, 1.0)
        flush = ledger.plan_flush()
        assert flush is not None
        sizes.append(sum(len(write.value or b'') for write in flush.writes))
        ledger.reject_flush(flush)

    for account in accounts:
        ledger.record(account, figures, 1.0)
    return [
        Slope(
            name='usage of a request counted',
            cpu_us=_cpu_us(
                lambda: ledger.record(accounts[0], figures, 1), 500
            ),
        ),
        Slope(
            name='usage totals of 200 accounts written',
            cpu_us=_cpu_us(write, 50),
            wire_bytes=max(sizes),
        ),
    ]


_RESIDENT_SCRIPT = """
import importlib, json, psutil, sys
own = psutil.Process()
before = own.memory_info().rss
importlib.import_module(sys.argv[1])
print(json.dumps([before, own.memory_info().rss]))
"""


def measure_processes() -> list[Slope]:
    """Return the resident memory of each role after its import."""
    slopes = []
    for role in ('agent', 'entry'):
        output = subprocess.run(
            [
                sys.executable,
                '-c',
                _RESIDENT_SCRIPT,
                f'dogwoodpost.services.{role}.process',
            ],
            capture_output=True,
            check=True,
        ).stdout
        _, resident = json.loads(output)
        slopes.append(
            Slope(name=f'{role} process at start', memory_bytes=resident)
        )
    return slopes


def measure_slopes() -> dict[str, Slope]:
    """Return all slopes by name."""
    slopes = [
        *measure_messages(),
        *measure_entry(),
        *measure_configuration(),
        *measure_usage(),
        *measure_processes(),
    ]
    return {slope.name: slope for slope in slopes}
