"""A service that runs parts in order and stops them in reverse order."""

from __future__ import annotations

import abc
import contextlib
from typing import TYPE_CHECKING
from typing import TypeVar

import mode

from dogwoodpost.services.process import propagate_crash
from dogwoodpost.services.process import running

if TYPE_CHECKING:
    from contextlib import AbstractAsyncContextManager

_Part = TypeVar('_Part')
_ServicePart = TypeVar('_ServicePart', bound=mode.Service)


class CompositeService(mode.Service, abc.ABC):
    """Opens its parts at its start; a part that crashes crashes it too."""

    def __init__(self) -> None:
        super().__init__()
        self._parts = contextlib.AsyncExitStack()

    @abc.abstractmethod
    async def open_parts(self) -> None:
        """Open all parts, each by :meth:`open_part` or :meth:`run_part`."""

    async def on_start(self) -> None:
        """Open the parts; on a failure, close those that are open."""
        try:
            await self.open_parts()
        except BaseException:
            await self._parts.aclose()
            raise

    async def on_stop(self) -> None:
        """Close the parts, the last one first."""
        await self._parts.aclose()

    async def open_part(
        self, part: AbstractAsyncContextManager[_Part]
    ) -> _Part:
        """Enter a context that is left when this service stops."""
        return await self._parts.enter_async_context(part)

    async def run_part(self, part: _ServicePart) -> _ServicePart:
        """Start a service that is stopped when this service stops."""
        await self._parts.enter_async_context(running(part))
        self.add_future(propagate_crash(self, part))
        return part
