"""Fixtures around the request pipeline."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

import pytest

from dogwoodpost.core import ids
from dogwoodpost.core.admission import Admission
from dogwoodpost.core.configuration import ClientAccount
from dogwoodpost.core.configuration import Configuration
from dogwoodpost.core.configuration import KeyRecord
from dogwoodpost.core.configuration import Route
from dogwoodpost.core.configuration import Service
from dogwoodpost.core.configuration import ServiceKind
from dogwoodpost.core.keys import key_digest
from dogwoodpost.core.routing import Router
from dogwoodpost.observability import Metrics
from dogwoodpost.ports.attempt_runner import AttemptEnd
from dogwoodpost.ports.attempt_runner import AttemptHead
from dogwoodpost.ports.configuration_source import ConfigurationSource
from dogwoodpost.services.entry.request_pipeline import RequestPipeline
from tests.fakes.pipeline import end
from tests.fakes.pipeline import endpoint
from tests.fakes.pipeline import FakeRunner
from tests.fakes.pipeline import FakeUsage
from tests.fakes.pipeline import LoopClock

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable


SSE_HEAD = AttemptHead(200, (('Content-Type', 'text/event-stream'),))


class FakeConfiguration(ConfigurationSource):
    """A configuration that tests change at will."""

    def __init__(self, configuration: Configuration) -> None:
        self.configuration = configuration
        self.fresh = True
        self._listeners: list[Callable[[Configuration], None]] = []

    def current(self) -> Configuration:
        return self.configuration

    def is_fresh(self) -> bool:
        return self.fresh

    def subscribe(self, listener: Callable[[Configuration], None]) -> None:
        self._listeners.append(listener)

    def publish(self, configuration: Configuration) -> None:
        self.configuration = configuration
        for listener in self._listeners:
            listener(configuration)


def by_id(items: Iterable[object], field: str) -> dict[object, object]:
    return {getattr(item, field): item for item in items}


def route(name: str, service: str, path: str, **fields: object) -> Route:
    fields.setdefault('client_account_ids', ('lab', 'shop'))
    return Route(name=name, service=service, path_prefix=path, **fields)


def key_record(name: str, account: str, *, revoked: bool = False) -> KeyRecord:
    return KeyRecord(
        key_id=name,
        client_account_id=account,
        digest=key_digest(f'{name}-secret-key'),
        revoked=revoked,
    )


def sample_configuration() -> Configuration:
    keys = [
        key_record('lab', 'lab'),
        key_record('shop', 'shop'),
        key_record('guest', 'guest'),
        key_record('old', 'lab', revoked=True),
        key_record('off', 'off'),
    ]
    accounts = [
        ClientAccount(client_account_id=name, enabled=name != 'off')
        for name in ('lab', 'shop', 'guest', 'off')
    ]
    services = [
        Service(name='slate', kind=ServiceKind.ENGINE, model='slate-lm'),
        Service(name='quarry', kind=ServiceKind.PLAIN),
    ]
    routes = [
        route('slate', 'slate', '/v1', priority=3),
        route('quarry', 'quarry', '/quarry', max_body_bytes=1_000),
        route('booking', 'quarry', '/quarry/book', idempotent=False),
        route('public', 'quarry', '/public', open_to_all=True),
    ]
    return Configuration(
        revision=ids.Revision(1),
        client_accounts=by_id(accounts, 'client_account_id'),
        keys=by_id(keys, 'key_id'),
        services=by_id(services, 'name'),
        routes=by_id(routes, 'name'),
    )


@pytest.fixture
def runner() -> FakeRunner:
    return FakeRunner()


@pytest.fixture
def configuration() -> FakeConfiguration:
    return FakeConfiguration(sample_configuration())


@pytest.fixture
def usage() -> FakeUsage:
    return FakeUsage()


@pytest.fixture
def metrics() -> Metrics:
    return Metrics()


@pytest.fixture
def router() -> Router:
    router = Router('a', 'r', random.Random(1))
    for service in ('slate', 'quarry'):
        for number in (1, 2):
            router.upsert(endpoint(f'{service}-{number}', service), 0.0)
    return router


@pytest.fixture
def pipeline(
    runner: FakeRunner, router: Router, usage: FakeUsage, metrics: Metrics
) -> RequestPipeline:
    return RequestPipeline(
        runner=runner,
        router=router,
        admission=Admission(),
        usage=usage,
        metrics=metrics,
        clock=LoopClock(),
        rng=random.Random(1),
    )


@pytest.fixture
def completed() -> AttemptEnd:
    return end()
