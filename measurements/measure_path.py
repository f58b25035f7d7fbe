"""Measures the overhead of entry and agent on a call of an endpoint."""

from __future__ import annotations

import asyncio
import json
import sys
from typing import Any
from typing import TYPE_CHECKING

import aiohttp
import msgspec

from dogwoodpost.demo.administrator import administrator
from dogwoodpost.demo.local_system import MODEL_SERVICE
from dogwoodpost.demo.local_system import PLAIN_SERVICE
from measurements.path.load import alternating_latencies
from measurements.path.load import Request
from measurements.path.load import REQUEST_TIMEOUT_S
from measurements.path.load import send
from measurements.path.load import Target
from measurements.path.load import Throughput
from measurements.path.load import throughput
from measurements.path.load import WrongResponseError
from measurements.path.processes import Entry
from measurements.path.processes import Process
from measurements.path.processes import process_system
from measurements.path.processes import ProcessFailedError
from measurements.path.processes import ProcessSystem
from measurements.path.processes import wait_for_status

if TYPE_CHECKING:
    from collections.abc import Callable

LATENCY_COUNT = 300
THROUGHPUT_COUNT = 1_500
STREAM_COUNT = 200
CONCURRENCY = 16
WARM_UP_COUNT = 30
MAX_DURATION_S = 150.0
TOKEN_COUNT = 32
ACCOUNT = 'measure'


class CaseResult(msgspec.Struct, frozen=True, kw_only=True):
    """Figures of one kind of request."""

    case: str
    direct_p50_ms: float
    direct_p99_ms: float
    path_p50_ms: float
    path_p99_ms: float
    direct: Throughput
    path: Throughput

    def ratios(self) -> dict[str, float]:
        """Return the figures of the path relative to those of direct calls."""
        own_cpu_ms = self.path.cpu_ms['entry'] + self.path.cpu_ms['agent']
        return {
            'p50': self.path_p50_ms / self.direct_p50_ms,
            'p99': self.path_p99_ms / self.direct_p99_ms,
            'requests_per_s': self.path.requests_per_s
            / self.direct.requests_per_s,
            'requests_per_core_s': self.direct.cpu_ms['endpoint'] / own_cpu_ms,
        }


class MeasuredSystem(msgspec.Struct, frozen=True):
    """Processes on the path to one endpoint, and both ways to call it."""

    processes: dict[str, Process]
    direct: Target
    path: Target


def echo_request(size_bytes: int) -> Callable[[int], Request]:
    """Return a factory of echo requests to the plain service."""

    def new_request(number: int) -> Request:
        body = f'{number}:'.ljust(size_bytes, 'x').encode()

        def check(response: bytes) -> bool:
            echoed: str = json.loads(response)['body']
            return echoed.encode() == body

        return Request(f'/bookings/{number}', body, check)

    return new_request


def completion_request(*, stream: bool) -> Callable[[int], Request]:
    """Return a factory of requests for a fixed number of tokens."""

    def new_request(number: int) -> Request:
        body = json.dumps(
            {
                'model': MODEL_SERVICE,
                'prompt': f'slate number {number}',
                'max_tokens': TOKEN_COUNT,
                'stream': stream,
            }
        ).encode()
        check = _is_whole_stream if stream else _is_whole_completion
        return Request('/v1/completions', body, check)

    return new_request


def _is_whole_completion(response: bytes) -> bool:
    usage = json.loads(response)['usage']
    return bool(usage['completion_tokens'] == TOKEN_COUNT)


def _is_whole_stream(response: bytes) -> bool:
    events = [
        line.removeprefix(b'data: ')
        for line in response.splitlines()
        if line.startswith(b'data: ')
    ]
    if len(events) < 2 or events[-1] != b'[DONE]':
        return False
    return _is_whole_completion(events[-2])


async def measure_case(
    session: aiohttp.ClientSession,
    case: str,
    system: MeasuredSystem,
    new_request: Callable[[int], Request],
    count: int,
) -> CaseResult:
    """Measure one kind of request."""
    targets = (system.direct, system.path)
    await alternating_latencies(session, targets, new_request, WARM_UP_COUNT)
    latencies = await alternating_latencies(
        session, targets, new_request, LATENCY_COUNT
    )
    rates = {}
    for target in targets:
        rates[target.name] = await throughput(
            session,
            target,
            new_request,
            count=count,
            concurrency=CONCURRENCY,
            processes=system.processes,
        )
    return CaseResult(
        case=case,
        direct_p50_ms=percentile_ms(latencies['direct'], 0.50),
        direct_p99_ms=percentile_ms(latencies['direct'], 0.99),
        path_p50_ms=percentile_ms(latencies['path'], 0.50),
        path_p99_ms=percentile_ms(latencies['path'], 0.99),
        direct=rates['direct'],
        path=rates['path'],
    )


def percentile_ms(durations_s: list[float], share: float) -> float:
    """Return a percentile in ms."""
    ordered = sorted(durations_s)
    index = min(int(share * len(ordered)), len(ordered) - 1)
    return ordered[index] * 1000


async def start_system(
    system: ProcessSystem, kind: str, service: str, entry: Entry, key: str
) -> MeasuredSystem:
    """Start an endpoint and its agent."""
    endpoint, url = await system.start_standin(kind)
    agent = await system.start_agent(f'agent-{kind}', service, url)
    return MeasuredSystem(
        processes={
            'entry': entry.process,
            'agent': agent,
            'endpoint': endpoint,
        },
        direct=Target('direct', url),
        path=Target('path', entry.url, key),
    )


async def measure() -> list[CaseResult]:
    """Run all cases one after the other."""
    timeout = aiohttp.ClientTimeout(total=REQUEST_TIMEOUT_S)
    async with (
        process_system() as system,
        aiohttp.ClientSession(timeout=timeout) as session,
    ):
        entry = await system.start_entry('entry-1')
        async with administrator(entry.admin_port) as operator:
            issued = await operator.create_account(ACCOUNT)
            await operator.declare_services([ACCOUNT])
        plain = await start_system(
            system, 'plain', PLAIN_SERVICE, entry, issued.key
        )
        engine = await start_system(
            system, 'engine', MODEL_SERVICE, entry, issued.key
        )
        await wait_for_status(session, f'{entry.url}/bookings/0', issued.key)
        await wait_for_completion(session, engine.path)
        cases = [
            ('plain 100 B', plain, echo_request(100), THROUGHPUT_COUNT),
            ('plain 64 KiB', plain, echo_request(65_536), THROUGHPUT_COUNT),
            (
                'engine JSON',
                engine,
                completion_request(stream=False),
                STREAM_COUNT,
            ),
            (
                'engine stream',
                engine,
                completion_request(stream=True),
                STREAM_COUNT,
            ),
        ]
        return [
            await measure_case(session, name, target, request, count)
            for name, target, request, count in cases
        ]


async def wait_for_completion(
    session: aiohttp.ClientSession, target: Target
) -> None:
    """Repeat a completion until the entry knows the agent of the engine."""
    request = completion_request(stream=False)(0)
    for _ in range(100):
        try:
            await send(session, target, request)
        except WrongResponseError:
            await asyncio.sleep(0.1)
        else:
            return
    await send(session, target, request)


def print_table(results: list[CaseResult]) -> None:
    """Print one line per case."""
    print(
        f'{"case":<14} {"p50 ms":>15} {"p99 ms":>15} {"req/s":>15}'
        f' {"CPU ms per request":>26}'
    )
    print(
        f'{"":<14} {"direct    path":>15} {"direct    path":>15}'
        f' {"direct    path":>15} {"endpoint   entry   agent":>26}'
    )
    for result in results:
        path_cpu = result.path.cpu_ms
        print(
            f'{result.case:<14}'
            f' {result.direct_p50_ms:>7.2f} {result.path_p50_ms:>7.2f}'
            f' {result.direct_p99_ms:>7.2f} {result.path_p99_ms:>7.2f}'
            f' {result.direct.requests_per_s:>7.0f}'
            f' {result.path.requests_per_s:>7.0f}'
            f' {result.direct.cpu_ms["endpoint"]:>10.2f}'
            f' {path_cpu["entry"]:>7.2f} {path_cpu["agent"]:>7.2f}'
        )


def main() -> int:
    """Measure; return 1 if a request failed or a response was wrong."""
    summary: dict[str, Any] = {'failure': None, 'cases': []}
    try:
        results = asyncio.run(asyncio.wait_for(measure(), MAX_DURATION_S))
    except (WrongResponseError, ProcessFailedError, TimeoutError) as error:
        summary['failure'] = str(error) or repr(error)
    else:
        print_table(results)
        summary['cases'] = [
            {**msgspec.to_builtins(result), 'ratios': result.ratios()}
            for result in results
        ]
    print(json.dumps(summary))
    return 0 if summary['failure'] is None else 1


if __name__ == '__main__':
    sys.exit(main())
