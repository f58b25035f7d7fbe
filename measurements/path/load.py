"""Requests to an endpoint, directly or through entry and agent."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from typing import TYPE_CHECKING

import aiohttp
import msgspec

if TYPE_CHECKING:
    from collections.abc import Mapping
    from collections.abc import Sequence

    from measurements.path.processes import Process

REQUEST_TIMEOUT_S = 20.0


class WrongResponseError(Exception):
    """A request failed or got a response that does not match it."""


class Target(msgspec.Struct, frozen=True):
    """Base URL of requests, and the key that they present."""

    name: str
    base_url: str
    key: str = ''


class Request(msgspec.Struct, frozen=True):
    """A request with the check of its response body."""

    path: str
    body: bytes
    check: Callable[[bytes], bool]


class Throughput(msgspec.Struct, frozen=True):
    """Requests and CPU time per request of each process."""

    requests_per_s: float
    cpu_ms: dict[str, float]


async def send(
    session: aiohttp.ClientSession, target: Target, request: Request
) -> float:
    """Send a request; return its duration in seconds.

    :raises WrongResponseError: the request failed or got a wrong response.
    """
    headers = {'Content-Type': 'application/json'}
    if target.key:
        headers['Authorization'] = f'Bearer {target.key}'
    start_s = time.perf_counter()
    try:
        async with session.post(
            target.base_url + request.path, data=request.body, headers=headers
        ) as response:
            body = await response.read()
    except (aiohttp.ClientError, TimeoutError) as error:
        raise WrongResponseError(f'{target.name}: {error!r}') from error
    duration_s = time.perf_counter() - start_s
    if response.status != 200 or not request.check(body):
        raise WrongResponseError(
            f'{target.name}{request.path}: status {response.status}, '
            f'{body[:200]!r}'
        )
    return duration_s


async def alternating_latencies(
    session: aiohttp.ClientSession,
    targets: Sequence[Target],
    new_request: Callable[[int], Request],
    count: int,
) -> dict[str, list[float]]:
    """Send one request at a time to each target in turn.

    Alternating exposes all targets to the same noise of the machine.
    """
    durations_s: dict[str, list[float]] = {
        target.name: [] for target in targets
    }
    for number in range(count):
        for target in targets:
            duration_s = await send(session, target, new_request(number))
            durations_s[target.name].append(duration_s)
    return durations_s


async def throughput(
    session: aiohttp.ClientSession,
    target: Target,
    new_request: Callable[[int], Request],
    *,
    count: int,
    concurrency: int,
    processes: Mapping[str, Process],
) -> Throughput:
    """Send ``count`` requests with a fixed concurrency."""
    numbers = iter(range(count))

    async def send_remaining() -> None:
        for number in numbers:
            await send(session, target, new_request(number))

    before_s = {role: process.cpu_s() for role, process in processes.items()}
    start_s = time.perf_counter()
    await asyncio.gather(*(send_remaining() for _ in range(concurrency)))
    duration_s = time.perf_counter() - start_s
    return Throughput(
        requests_per_s=count / duration_s,
        cpu_ms={
            role: (process.cpu_s() - before_s[role]) / count * 1000
            for role, process in processes.items()
        },
    )
