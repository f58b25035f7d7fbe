"""Port: a lease that guards an action."""

from __future__ import annotations

import abc
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from dogwoodpost.core import ids
    from dogwoodpost.ports.table_store import Check


class LeaseGuard(abc.ABC):
    """Tells whether this process may act for a shard right now."""

    @abc.abstractmethod
    def fencing_number(self) -> ids.FencingNumber:
        """Return the number of the held lease.

        To be called directly before the bytes of each order are sent.

        :raises LeaseLostError: the lease is not held, or not for long enough
            to finish a call.
        """

    @abc.abstractmethod
    def fence_check(self) -> Check:
        """Return the check that fails a transaction after a takeover.

        :raises LeaseLostError: the lease is not held.
        """
