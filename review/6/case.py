"""The open connections to the model samplers go silent before a step."""

import asyncio
import json
import time
import uuid
from pathlib import Path

from harness import BOUNDS
from harness import BrokenRuleError
from harness import run_case
from harness import Site
from harness import TROUBLE

# Trainers as on the sheet, groups and items of a group; each has two steps
# before the silence, 4 s apart.
TRAINERS = ((5, 8), (10, 4), (5, 8))
STEP_S = 4.0
# A smaller trainer asks its first step right after the silence.
SMALL_TRAINER = (4, 4)
DEADLINE_S = 12.0
STABLE_S = BOUNDS['stableMs'] / 1000
# RULES.md, LOST: an item that has been at no sampler for 5 s.
IDLE_S = 5.0


class Trainer:
    """A trainer with a model of its own."""

    def __init__(self, site, record, node, size):
        self._site = site
        self._record = record
        self._node = node
        self._groups, self._group_size = size
        self.model = f'model-{uuid.uuid4().hex[:6]}'
        self.job_id = ''
        self.item_ids = []
        self.results = []

    async def submit(self, step):
        site, count = self._site, self._groups * self._group_size
        job = site.job(count, step=step, groups=self._groups)
        job['model'] = self.model
        for item in job['requests']:
            item['headers']['X-Model'] = self.model
        self.item_ids = [item['id'] for item in job['requests']]
        self.job_id = uuid.uuid4().hex[:16]
        self.results = []
        status = await site.submit(self._node, job, self.job_id)
        if status != 202:
            raise RuntimeError(f'a job gets {status}')
        self._record(
            f'job {self.job_id}: step {step} of {self.model}, '
            f'{count} items, 202'
        )

    async def read(self, end_s):
        """Read results about twice a second until all are listed."""
        while time.monotonic() < end_s:
            if len(self.results) == len(self.item_ids):
                break
            status, _, body = await self._site.send(
                self._node,
                f'/api/lots/{self.job_id}?after={len(self.results)}',
                method='GET',
                headers={'X-Wait-Ms': '1000'},
            )
            if status == 200:
                self.results += json.loads(body)['results']
            await asyncio.sleep(0.5)
        self._record(
            f'job {self.job_id}: {len(self.results)} of '
            f'{len(self.item_ids)} results read'
        )

    async def end(self):
        status, _, _ = await self._site.send(
            self._node, f'/api/lots/{self.job_id}', method='DELETE'
        )
        self._record(f'job {self.job_id}: its end gets {status}')


async def watch_arrivals(engines, arrivals):
    """Note when each item first reached a sampler."""
    seen = [0] * len(engines)
    while True:
        now_s = time.monotonic()
        for number, engine in enumerate(engines):
            for request in engine.requests[seen[number] :]:
                arrivals.setdefault(request.request_id, now_s)
            seen[number] = len(engine.requests)
        await asyncio.sleep(0.01)


async def case(record):
    async with Site(record, engines=5, plain=3, event_count=25) as site:
        await site.proxy_engines()
        site.configure()
        node = await site.add_node('front-minas-a-1')
        await site.wait_ready(node)
        trainers = [
            Trainer(site, record, node, size)
            for size in (*TRAINERS, SMALL_TRAINER)
        ]
        *large, small = trainers
        for engine in site.engines:
            engine.event_gap_s = 0.05
            engine.versions = {trainer.model: 1 for trainer in trainers}
            site.register(engine)
        arrivals = {}
        watch = asyncio.create_task(watch_arrivals(site.engines, arrivals))
        await asyncio.sleep(1.0)
        for step in range(2):
            end_s = time.monotonic() + STEP_S
            await asyncio.gather(*(one.submit(step) for one in large))
            await asyncio.gather(*(one.read(end_s) for one in large))
            await asyncio.sleep(max(end_s - time.monotonic(), 0.0))
            await asyncio.gather(*(one.end() for one in large))
        silent_s = time.monotonic()
        if TROUBLE:
            count = sum(proxy.silence_open() for proxy in site.sampler_proxies)
            record(f'{count} open connections to model samplers go silent')
        await asyncio.sleep(0.1)
        start_s = time.monotonic()
        await small.submit(0)
        await small.read(start_s + DEADLINE_S)
        await asyncio.sleep(max(start_s + DEADLINE_S - time.monotonic(), 0.0))
        deadline_s = start_s + DEADLINE_S
        await small.end()
        watch.cancel()
        begun = {
            item_id: arrivals[item_id]
            for item_id in small.item_ids
            if arrivals.get(item_id, deadline_s) < deadline_s
        }
        for item_id in small.item_ids:
            reached_s = begun.get(item_id)
            record(
                f'item {item_id} '
                + (
                    'reached no sampler'
                    if reached_s is None
                    else f'reached a sampler {reached_s - start_s:.2f} s '
                    'after its job was sent'
                )
            )
        missing = len(small.item_ids) - len(begun)
        steady_s = deadline_s - (silent_s + STABLE_S)
        idle_s = deadline_s - max(begun.values(), default=start_s)
        record(
            f'{missing} items reached no sampler in {DEADLINE_S} s, '
            f'{steady_s:.1f} s of them steady state; the last item that '
            f'began did so {idle_s:.1f} s before the deadline'
        )
        if missing and begun and steady_s >= IDLE_S and idle_s >= 3.0:
            raise BrokenRuleError(
                f'LOST: the step ran out of time, and {missing} of its items '
                f'had been at no sampler for {steady_s:.1f} s of steady state'
            )


run_case(Path(__file__).parent, case)
