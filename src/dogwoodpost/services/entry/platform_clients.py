"""Creates the clients of the platform services that an entry uses."""

from __future__ import annotations

from contextlib import asynccontextmanager
from typing import TYPE_CHECKING
from typing import TypeVar

import msgspec

from dogwoodpost.adapters.platform.endpoint_orders import HttpEndpointOrders
from dogwoodpost.adapters.platform.host_list import HttpHostList
from dogwoodpost.adapters.platform.object_store import HttpObjectStore
from dogwoodpost.adapters.platform.platform_session import platform_session
from dogwoodpost.adapters.platform.retrying_table_store import (
    RetryingTableStore,
)
from dogwoodpost.adapters.platform.scorer import HttpScorer
from dogwoodpost.adapters.platform.table_store import HttpTableStore
from dogwoodpost.adapters.platform.usage_reports import HttpUsageReports
from dogwoodpost.adapters.platform.weight_store import HttpWeightStore
from dogwoodpost.config import plain_secret
from dogwoodpost.ports.endpoint_orders import EndpointOrders
from dogwoodpost.ports.host_list import HostList
from dogwoodpost.ports.object_store import ObjectStore
from dogwoodpost.ports.scorer import Scorer
from dogwoodpost.ports.table_store import TableStore
from dogwoodpost.ports.usage_reports import UsageReports
from dogwoodpost.ports.weight_store import WeightStore

if TYPE_CHECKING:
    import random
    from collections.abc import AsyncIterator
    from collections.abc import Callable

    import pydantic

    from dogwoodpost.config import PlatformSettings
    from dogwoodpost.observability import Metrics
    from dogwoodpost.ports.clock import Clock

_Client = TypeVar('_Client')


class PlatformClients(msgspec.Struct, frozen=True, kw_only=True):
    """Clients of platform services; None for a service without a URL.

    ``unretried_tables`` does not retry commits. It is for callers that retry
    themselves: leases, usage, orders and rollouts. With ``retrying_tables``
    below their own retries they made four times as many commits in a store
    outage.
    """

    unretried_tables: TableStore
    retrying_tables: TableStore
    objects: ObjectStore
    host_list: HostList | None
    endpoint_orders: EndpointOrders | None
    usage_reports: UsageReports | None
    weight_store: WeightStore | None
    scorer: Scorer | None


@asynccontextmanager
async def open_platform(
    settings: PlatformSettings,
    clock: Clock,
    rng: random.Random,
    metrics: Metrics,
) -> AsyncIterator[PlatformClients]:
    """Open the clients of all platform services that have a URL."""
    timeout_s = settings.timeout_ms / 1000
    token = plain_secret(settings.token)
    async with platform_session(settings, metrics) as session:
        unretried_tables = HttpTableStore(
            session, str(settings.table_store_url), metrics
        )
        yield PlatformClients(
            unretried_tables=unretried_tables,
            retrying_tables=RetryingTableStore(unretried_tables, clock, rng),
            objects=HttpObjectStore(
                session, str(settings.object_store_url), metrics
            ),
            host_list=_build_optional(
                settings.host_list_url, lambda url: HttpHostList(session, url)
            ),
            endpoint_orders=_build_optional(
                settings.endpoint_orders_url,
                lambda url: HttpEndpointOrders(
                    url, timeout_s=timeout_s, token=token
                ),
            ),
            usage_reports=_build_optional(
                settings.usage_reports_url,
                lambda url: HttpUsageReports(
                    url, timeout_s=timeout_s, token=token
                ),
            ),
            weight_store=_build_optional(
                settings.weight_store_url,
                lambda url: HttpWeightStore(
                    session, url, timeout_s=timeout_s, token=token
                ),
            ),
            scorer=_build_optional(
                settings.scorer_url,
                lambda url: HttpScorer(
                    session, url, timeout_s=timeout_s, token=token
                ),
            ),
        )


def _build_optional(
    url: pydantic.HttpUrl | None, build: Callable[[str], _Client]
) -> _Client | None:
    return None if url is None else build(str(url).rstrip('/'))
