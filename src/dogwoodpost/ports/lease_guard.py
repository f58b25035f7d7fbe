"""Port: checks that a lease is held before an action."""

from __future__ import annotations

import abc
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from dogwoodpost.core import ids
    from dogwoodpost.ports.table_store import Check


class LeaseGuard(abc.ABC):
    """Checks whether this process currently holds the lease on a shard."""

    @abc.abstractmethod
    def fencing_number(self) -> ids.FencingNumber:
        """Return the number of the held lease.

        Call this directly before the bytes of each order are sent.

        :raises LeaseLostError: the lease is not held, or expires too soon to
            finish a call.
        """

    @abc.abstractmethod
    def fence_check(self) -> Check:
        """Return the check that fails a transaction after a takeover.

        :raises LeaseLostError: the lease is not held.
        """
