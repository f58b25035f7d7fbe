"""Port: the configuration in force at this process."""

from __future__ import annotations

import abc
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from dogwoodpost.core.configuration import Configuration


class ConfigurationSource(abc.ABC):
    """Provides the current configuration; its revision never decreases."""

    @abc.abstractmethod
    def current(self) -> Configuration:
        """Return the revision in force; revision 0 before the first read."""

    @abc.abstractmethod
    def is_fresh(self) -> bool:
        """Return whether routes that require a key may be served."""

    @abc.abstractmethod
    def subscribe(self, listener: Callable[[Configuration], None]) -> None:
        """Call the listener with each new revision, on the event loop."""
