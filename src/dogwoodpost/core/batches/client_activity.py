"""Use of services by clients of this process."""

from __future__ import annotations

from contextlib import contextmanager
from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterator

    from dogwoodpost.core import ids

# How long a service counts as used after a client request has ended.
_ACTIVITY_S = 1.0


class _ServiceUse(msgspec.Struct):
    open_count: int = 0
    last_end_s: float = 0.0


class ClientActivity:
    """Tells whether clients wait for, or send to, a service."""

    def __init__(self) -> None:
        self._uses: dict[ids.ServiceName, _ServiceUse] = {}

    @contextmanager
    def request(
        self, service: ids.ServiceName, now_s: Callable[[], float]
    ) -> Iterator[None]:
        """Count a request that waits or runs within the block.

        :param now_s: returns the time at the end of the block.
        """
        use = self._uses.setdefault(service, _ServiceUse())
        use.open_count += 1
        try:
            yield
        finally:
            use.open_count -= 1
            use.last_end_s = now_s()

    def is_active(self, service: ids.ServiceName, now_s: float) -> bool:
        """Return whether a request is open or was in the last second."""
        use = self._uses.get(service)
        if use is None:
            return False
        return use.open_count > 0 or now_s - use.last_end_s <= _ACTIVITY_S
