"""Port: the configuration in force at this process."""

from __future__ import annotations

import abc
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from dogwoodpost.core.configuration import Configuration


class ConfigurationSource(abc.ABC):
    """Gives the current configuration, which never goes back a revision."""

    @abc.abstractmethod
    def current(self) -> Configuration:
        """Return the revision in force; revision 0 before the first read."""

    @abc.abstractmethod
    def is_fresh(self) -> bool:
        """Return whether keyed routes may be served."""

    @abc.abstractmethod
    def subscribe(self, listener: Callable[[Configuration], None]) -> None:
        """Call the listener with each new revision, on the event loop."""
