"""Stand-in for the platform's list of hosts."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
from aiohttp import web

from dogwoodpost.adapters.platform import wire
from dogwoodpost.errors import PlatformError
from dogwoodpost.ports.host_list import HostList
from dogwoodpost.ports.host_list import ListedHost

if TYPE_CHECKING:
    from collections.abc import Sequence

    from dogwoodpost.core import ids


class MemoryHostList(HostList):
    """In-memory host list.

    Tests change ``listed`` to make the list lag behind the actual hosts.
    """

    def __init__(self, hosts: Sequence[ListedHost] = ()) -> None:
        self.listed: dict[ids.HostId, ListedHost] = {
            host.host_id: host for host in hosts
        }
        self.down = False

    async def hosts(self) -> Sequence[ListedHost]:
        """Return the current list."""
        if self.down:
            raise PlatformError('the host list is down')
        return list(self.listed.values())


def create_app(host_list: MemoryHostList | None = None) -> web.Application:
    """Return the application; ``PUT /hosts`` replaces the whole list."""
    hosts = host_list or MemoryHostList()

    async def get_hosts(_: web.Request) -> web.Response:
        try:
            body = wire.HostsResponse(list(await hosts.hosts()))
        except PlatformError:
            return web.Response(status=503)
        return web.Response(
            body=msgspec.json.encode(body), content_type='application/json'
        )

    async def put_hosts(request: web.Request) -> web.Response:
        body = msgspec.json.decode(
            await request.read(), type=wire.HostsResponse
        )
        hosts.listed = {host.host_id: host for host in body.hosts}
        return web.Response(status=204)

    app = web.Application()
    app.router.add_get('/hosts', get_hosts)
    app.router.add_put('/hosts', put_hosts)
    return app
