"""Gateway to endpoints, for tests without a site."""

from __future__ import annotations

import contextlib
from typing import TYPE_CHECKING

from dogwoodpost.core import ids
from dogwoodpost.core.membership.endpoint_registry import EndpointRegistry
from dogwoodpost.observability import Metrics
from dogwoodpost.platform.connection_counts import ConnectionCounts
from dogwoodpost.platform.endpoint_calls import HttpEndpointGateway
from dogwoodpost.platform.leave_notices import LeaveNotices
from dogwoodpost.platform.sessions import guarded_session
from dogwoodpost.platform.sessions import http_session
from dogwoodpost.ports.endpoint_gateway import EndpointCall
from dogwoodpost.standins.virtual_clock import VirtualClock
from tests.core.membership.test_endpoint_registry import FakeListener

if TYPE_CHECKING:
    from collections.abc import AsyncIterator


@contextlib.asynccontextmanager
async def opened_gateway() -> AsyncIterator[HttpEndpointGateway]:
    """Open a gateway that calls endpoints as processes do."""
    counts = ConnectionCounts(Metrics())
    notices = LeaveNotices(EndpointRegistry(FakeListener()), VirtualClock())
    async with (
        http_session(counts, reuse=True) as session,
        http_session(counts, reuse=False) as fresh_session,
        guarded_session(counts) as orders_session,
    ):
        yield HttpEndpointGateway(
            session, fresh_session, orders_session, 'node', notices
        )


def endpoint_call(
    request_id: str = 'request', *, reuses: bool = False
) -> EndpointCall:
    """Return a call without a body."""
    return EndpointCall(
        request_id=ids.RequestId(request_id),
        method='GET',
        path='/a',
        headers=(),
        body=b'',
        timeout_s=2.0,
        may_reuse_connection=reuses,
    )
