"""Steps of the demo and the table of their results."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

import aiohttp
import msgspec

from dogwoodpost.adapters.http.bounded_connector import (
    BoundedProtocolConnector,
)
from dogwoodpost.adapters.http.bounded_connector import KEEPALIVE_S
from dogwoodpost.client import StepSubmission
from dogwoodpost.client import TrainerClient
from dogwoodpost.core import ids
from dogwoodpost.demo.administrator import administrator
from dogwoodpost.demo.local_system import MODEL_SERVICE
from dogwoodpost.errors import DogwoodpostError

if TYPE_CHECKING:
    from dogwoodpost.demo.administrator import Administrator
    from dogwoodpost.demo.administrator import IssuedKey
    from dogwoodpost.demo.local_system import LocalSystem

PIZARRA = 'pizarra-logica'
SWANBOURNE = 'swanbourne-matting'
_PROMPT = 'plan the splitting order of block nine'
_ENDPOINTS_TIMEOUT_S = 15.0
_USAGE_TIMEOUT_S = 40.0
_WEIGHTS_TIMEOUT_S = 30.0
_WEIGHT_DATA = bytes(1_000_000)
_GROUP_COUNT = 2
_SAMPLES_PER_GROUP = 4


class DemoFailedError(DogwoodpostError):
    """A step of the demo had an unexpected result."""


class DemoLine(msgspec.Struct, frozen=True):
    """One line of the table of results."""

    action: str
    result: str


class Scenario:
    """Runs the steps of the demo and collects the lines of its table."""

    def __init__(
        self,
        system: LocalSystem,
        session: aiohttp.ClientSession,
        admin: Administrator,
    ) -> None:
        self._system = system
        self._session = session
        self._admin = admin
        self.lines: list[DemoLine] = []

    async def run(self) -> None:
        """Run all steps.

        :raises DemoFailedError: a step had an unexpected result.
        """
        pizarra = await self._admin.create_account(PIZARRA)
        swanbourne = await self._admin.create_account(SWANBOURNE)
        revision = await self._admin.declare_services([PIZARRA, SWANBOURNE])
        self._add('set-up over gRPC', f'2 accounts, revision {revision}')
        await self._wait_for_endpoints(pizarra)
        await self._complete(pizarra)
        await self._stream(swanbourne)
        await self._make_booking(swanbourne)
        await self._refuse_unknown_key()
        await self._run_step(pizarra)
        await self._roll_out_weights()
        await self._revoke_during_stream(swanbourne)
        await self._check_engines(pizarra, swanbourne)
        await self._wait_for_usage()

    def _add(self, action: str, result: str) -> None:
        self.lines.append(DemoLine(action, result))

    def _check(self, condition: bool, failure: str) -> None:
        if not condition:
            raise DemoFailedError(failure)

    async def _wait_for_endpoints(self, key: IssuedKey) -> None:
        end_s = time.monotonic() + _ENDPOINTS_TIMEOUT_S
        while time.monotonic() < end_s:
            models = await self._post(key, 'v1/completions', _completion(1))
            booking = await self._post(key, 'bookings/ready', {})
            if models.status == booking.status == 200:
                return
            await asyncio.sleep(0.2)
        raise DemoFailedError(
            f'the endpoints did not become ready: {models}, {booking}'
        )

    async def _complete(self, key: IssuedKey) -> None:
        reply = await self._post(key, 'v1/completions', _completion(16))
        self._check(reply.status == 200, f'completion: {reply.status}')
        body = msgspec.json.decode(reply.body)
        version = reply.headers.get('Dogwoodpost-Weight-Version', '')
        count = body['usage']['completion_tokens']
        self._check(version == '1', f'weight version {version!r}')
        self._add(
            'pizarra-logica: JSON completion',
            f'{count} tokens by weight version {version}',
        )

    async def _stream(self, key: IssuedKey) -> None:
        document = {**_completion(24), 'stream': True}
        reply = await self._post(key, 'v1/completions', document)
        events = reply.body.count(b'data: ')
        is_complete = reply.body.rstrip().endswith(b'data: [DONE]')
        self._check(is_complete, 'the stream did not end cleanly')
        self._add(
            'swanbourne-matting: streamed completion',
            f'{events} events, ended with [DONE]',
        )

    async def _make_booking(self, key: IssuedKey) -> None:
        reply = await self._post(key, 'bookings/foyer-7', {'mats': 3})
        self._check(reply.status == 200, f'booking: {reply.status}')
        self._add(
            'swanbourne-matting: non-idempotent booking',
            f'status {reply.status} from the plain service',
        )

    async def _refuse_unknown_key(self) -> None:
        reply = await self._request(
            'unknown', 'v1/completions', _completion(1)
        )
        self._check(reply.status == 401, f'unknown key: {reply.status}')
        error = msgspec.json.decode(reply.body)['error']
        self._add(
            'request with an unknown key',
            f'{reply.status} {error["code"]}, not run: {error["not_run"]}',
        )

    async def _run_step(self, key: IssuedKey) -> None:
        client = TrainerClient(
            self._session,
            [self._system.http_url],
            trainer_id=ids.TrainerId('trainer-1'),
            key=key.key,
        )
        step_id = ids.StepId('step-1')
        await client.submit_step(
            StepSubmission(
                step_id=step_id,
                service=ids.ServiceName(MODEL_SERVICE),
                prompts=tuple(f'{_PROMPT} {n}' for n in range(_GROUP_COUNT)),
                samples_per_group=_SAMPLES_PER_GROUP,
                max_tokens=32,
                max_version_lag=1,
                deadline_s=60.0,
            )
        )
        samples = []
        versions = set()
        async for batch in client.batches(step_id):
            samples += [sample.sample_id for sample in batch.samples]
            versions |= {
                segment.weight_version
                for sample in batch.samples
                for segment in sample.segments
            }
            await client.acknowledge(batch)
        expected = _GROUP_COUNT * _SAMPLES_PER_GROUP
        self._check(len(samples) == expected, f'{len(samples)} samples')
        self._check(len(set(samples)) == expected, 'a sample came twice')
        self._add(
            'trainer-1: step of scored samples',
            f'{expected} samples, each once, by versions {sorted(versions)}',
        )

    async def _roll_out_weights(self) -> None:
        weights = self._system.weights
        start_s = time.monotonic()
        weights.announce(MODEL_SERVICE, 2, _WEIGHT_DATA)
        for url in self._system.engine_urls:
            while await self._serving_version(url) != 2:
                if time.monotonic() - start_s > _WEIGHTS_TIMEOUT_S:
                    raise DemoFailedError(f'{url} does not serve version 2')
                await asyncio.sleep(0.1)
        duration_s = time.monotonic() - start_s
        self._add(
            'weight version 2 announced',
            f'on all engines after {duration_s:.1f} s, '
            f'{weights.fetch_count} fetch over the billed link',
        )

    async def _serving_version(self, url: str) -> int:
        async with self._session.get(f'{url}/control/load') as reply:
            load = msgspec.json.decode(await reply.read())
        version: int = load['weight_version']
        return version

    async def _revoke_during_stream(self, key: IssuedKey) -> None:
        document = {**_completion(100_000), 'stream': True}
        async with self._open(key.key, 'v1/completions', document) as reply:
            await reply.content.readany()
            start_s = time.monotonic()
            await self._admin.revoke(key.key_id)
            rest = await reply.content.read()
            duration_s = time.monotonic() - start_s
        self._check(b'event: error' in rest, 'the stream was not cut')
        self._check(b'[DONE]' not in rest, 'the stream ended cleanly')
        self._add(
            'key revoked on an open stream',
            f'explicit error after {duration_s:.2f} s',
        )
        refused_reply = await self._post(key, 'v1/completions', _completion(1))
        self._check(
            refused_reply.status == 401, f'revoked key: {refused_reply.status}'
        )
        self._add(
            'same connection, revoked key', f'status {refused_reply.status}'
        )

    async def _check_engines(self, *keys: IssuedKey) -> None:
        key_count = 0
        for url in (*self._system.engine_urls, self._system.plain_url):
            async with self._session.get(f'{url}/control/counters') as reply:
                counters = msgspec.json.decode(await reply.read())
            key_count += counters['secret_count']
        self._check(key_count == 0, 'an endpoint saw a key')
        self._add('keys seen by endpoints', str(key_count))

    async def _wait_for_usage(self) -> None:
        end_s = time.monotonic() + _USAGE_TIMEOUT_S
        while time.monotonic() < end_s:
            reports = list(self._system.usage_book.by_window.values())
            if any(report.figures for report in reports):
                break
            await asyncio.sleep(0.2)
        else:
            raise DemoFailedError('no usage window was reported')
        self._add('usage reported to the platform', f'{len(reports)} windows')

    async def _post(
        self, key: IssuedKey, path: str, document: object
    ) -> Reply:
        return await self._request(key.key, path, document)

    async def _request(self, key: str, path: str, document: object) -> Reply:
        async with self._open(key, path, document) as reply:
            return Reply(reply.status, dict(reply.headers), await reply.read())

    def _open(
        self, key: str, path: str, document: object
    ) -> aiohttp.client._RequestContextManager:
        return self._session.post(
            f'{self._system.http_url}/{path}',
            data=msgspec.json.encode(document),
            headers={
                'Authorization': f'Bearer {key}',
                'Content-Type': 'application/json',
            },
        )


class Reply(msgspec.Struct, frozen=True):
    """A response with its complete body."""

    status: int
    headers: dict[str, str]
    body: bytes


def _completion(max_tokens: int) -> dict[str, object]:
    return {
        'model': MODEL_SERVICE,
        'prompt': _PROMPT,
        'max_tokens': max_tokens,
    }


async def run_scenario(system: LocalSystem) -> list[DemoLine]:
    """Run the demo's steps; return the lines of its table.

    :raises DemoFailedError: a step had an unexpected result.
    """
    connector = BoundedProtocolConnector(keepalive_s=KEEPALIVE_S)
    async with (
        aiohttp.ClientSession(connector=connector) as session,
        administrator(system.entry.admin_port) as admin,
    ):
        scenario = Scenario(system, session, admin)
        await scenario.run()
    return scenario.lines
