"""Generates the requests of a case from fixed seeds."""

from __future__ import annotations

import math
import random
from typing import TYPE_CHECKING

import msgspec

from dogwoodpost.core.routing import BLOCK_BYTES
from dogwoodpost.core.routing import prefix_hashes
from measurements.requests.case import BURST_END_S
from measurements.requests.case import BURST_START_S
from measurements.requests.case import DURATION_S
from measurements.requests.engine import PREFILL_COST
from measurements.requests.engine import TOKENS_PER_S

if TYPE_CHECKING:
    from measurements.requests.case import Case
    from measurements.requests.user import User

TIMEOUT_S = 20.0
MAX_TOKENS = 512
_BYTES_PER_TOKEN = 4
_PREFIXES_PER_ACCOUNT = 6
_PREFIX_BLOCK_RANGE = (8, 40)
_MORNING_PREFIX_BLOCKS = 128
_SUFFIX_BYTES_RANGE = (256, 1_024)
_MEDIAN_COMPLETION_TOKENS = 110.0
_COMPLETION_SIGMA = 0.6
_HOME_ZONE_SHARE = 0.7
# The plain service is a small part of the traffic.
PLAIN_DURATION_S = 0.05
PLAIN_PER_S_PER_ENDPOINT = 160.0
_PLAIN_NON_IDEMPOTENT_SHARE = 0.3


class Request(msgspec.Struct, frozen=True, kw_only=True):
    """One request of a caller."""

    number: int
    arrival_s: float
    account: str
    service: str
    zone: str
    prefix: tuple[int, ...] = ()
    prompt_tokens: int = 0
    body_bytes: int = 512
    completion_tokens: int = 0
    timeout_s: float = TIMEOUT_S
    idempotent: bool = True


class Workload(msgspec.Struct, frozen=True):
    """The requests of a run, in the order of their arrival."""

    requests: tuple[Request, ...]


class _Generator:
    """Draws the requests of one case."""

    def __init__(self, user: User, case: Case) -> None:
        self._user = user
        self._case = case
        self._rng = random.Random(f'{user.seed}/{case.name}')
        self._accounts = [
            f'account-{number}' for number in range(len(user.demand_shares))
        ]
        self._prefixes = {
            account: [
                self._random_bytes(
                    self._rng.randint(*_PREFIX_BLOCK_RANGE) * BLOCK_BYTES
                )
                for _ in range(_PREFIXES_PER_ACCOUNT)
            ]
            for account in self._accounts
        }
        self._morning_prefix = self._random_bytes(
            _MORNING_PREFIX_BLOCKS * BLOCK_BYTES
        )
        self._number = 0

    def generate(self) -> Workload:
        user, case = self._user, self._case
        engine_count = sum(zone.sampler_count for zone in user.zones)
        plain_count = sum(zone.plain_count for zone in user.zones)
        rate = engine_count * TOKENS_PER_S / self._mean_work()
        plain_rate = plain_count * PLAIN_PER_S_PER_ENDPOINT
        requests = [
            *self._stream(case.load_share * rate, 0.0, DURATION_S, 'model'),
            *self._stream(
                case.burst_share * rate, BURST_START_S, BURST_END_S, 'morning'
            ),
            *self._stream(
                case.load_share * plain_rate * 0.3, 0.0, DURATION_S, 'plain'
            ),
        ]
        requests.sort(key=lambda request: request.arrival_s)
        return Workload(tuple(requests))

    def _mean_work(self) -> float:
        """Return the mean work of a request whose prefix is cached."""
        mean_tokens = _MEDIAN_COMPLETION_TOKENS * math.exp(
            _COMPLETION_SIGMA**2 / 2
        )
        suffix_tokens = sum(_SUFFIX_BYTES_RANGE) / 2 / _BYTES_PER_TOKEN
        return mean_tokens + suffix_tokens * PREFILL_COST

    def _stream(
        self, rate: float, start_s: float, end_s: float, kind: str
    ) -> list[Request]:
        requests = []
        time_s = start_s
        while rate > 0.0:
            time_s += self._rng.expovariate(rate)
            if time_s >= end_s:
                break
            requests.append(self._draw(time_s, kind))
        return requests

    def _draw(self, arrival_s: float, kind: str) -> Request:
        rng = self._rng
        index = rng.choices(
            range(len(self._accounts)), self._user.demand_shares
        )[0]
        self._number += 1
        zone = self._draw_zone(index)
        if kind == 'plain':
            return Request(
                number=self._number,
                arrival_s=arrival_s,
                account=self._accounts[index],
                service=self._user.plain_service,
                zone=zone,
                timeout_s=5.0,
                idempotent=rng.random() >= _PLAIN_NON_IDEMPOTENT_SHARE,
            )
        prompt = self._draw_prompt(self._accounts[index], kind)
        tokens = rng.lognormvariate(
            math.log(_MEDIAN_COMPLETION_TOKENS), _COMPLETION_SIGMA
        )
        return Request(
            number=self._number,
            arrival_s=arrival_s,
            account=self._accounts[index],
            service=self._user.model_service,
            zone=zone,
            prefix=prefix_hashes(prompt),
            prompt_tokens=len(prompt) // _BYTES_PER_TOKEN,
            body_bytes=len(prompt),
            completion_tokens=max(1, min(MAX_TOKENS, int(tokens))),
        )

    def _draw_zone(self, account_index: int) -> str:
        zones = self._user.zones
        if self._rng.random() < _HOME_ZONE_SHARE:
            return zones[account_index % len(zones)].name
        return self._rng.choice(zones).name

    def _draw_prompt(self, account: str, kind: str) -> bytes:
        prefix = self._morning_prefix
        if kind != 'morning':
            prefixes = self._prefixes[account]
            weights = [1.0 / (rank + 1) for rank in range(len(prefixes))]
            prefix = self._rng.choices(prefixes, weights)[0]
        return prefix + self._random_bytes(
            self._rng.randint(*_SUFFIX_BYTES_RANGE)
        )

    def _random_bytes(self, size_bytes: int) -> bytes:
        return self._rng.randbytes(size_bytes)


def generate_workload(user: User, case: Case) -> Workload:
    """Return the requests of a case; the same for every policy."""
    return _Generator(user, case).generate()
