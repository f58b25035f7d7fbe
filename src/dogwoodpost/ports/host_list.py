"""Port: the platform's list of hosts, which is updated with a delay."""

from __future__ import annotations

import abc
from enum import Enum
from typing import TYPE_CHECKING

import msgspec

from dogwoodpost.core import ids

if TYPE_CHECKING:
    from collections.abc import Sequence


class HostState(Enum):
    """State of a host on the list."""

    LIVE = 'live'
    LEAVING = 'leaving'


class ListedHost(msgspec.Struct, frozen=True, kw_only=True):
    """A host on the list."""

    host_id: ids.HostId
    availability_zone: ids.AvailabilityZone
    state: HostState


class HostList(abc.ABC):
    """Lists live and leaving hosts; changes appear with a delay."""

    @abc.abstractmethod
    async def hosts(self) -> Sequence[ListedHost]:
        """Return the current list.

        :raises PlatformError: the platform did not answer.
        """
