"""A service that starts its parts in order and stops them in reverse."""

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
    """Opens its parts when it starts, and crashes if one of them crashes."""

    def __init__(self) -> None:
        super().__init__()
        self._parts = contextlib.AsyncExitStack()

    @abc.abstractmethod
    async def open_parts(self) -> None:
        """Open all parts, each by :meth:`open_part` or :meth:`run_part`."""

    async def on_start(self) -> None:
        """Open the parts; if one fails, close those already opened."""
        try:
            await self.open_parts()
        except BaseException:
            await self._parts.aclose()
            raise

    async def on_stop(self) -> None:
        """Close the parts in reverse order."""
        await self._parts.aclose()

    async def open_part(
        self, part: AbstractAsyncContextManager[_Part]
    ) -> _Part:
        """Enter a context manager and exit it when this service stops."""
        return await self._parts.enter_async_context(part)

    async def run_part(self, part: _ServicePart) -> _ServicePart:
        """Start a service and stop it when this service stops."""
        await self._parts.enter_async_context(running(part))
        self.add_future(propagate_crash(self, part))
        return part
