"""Request ids that were sent to the addresses of endpoints."""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from dogwoodpost.core import ids

# Covers half a minute at 300 calls/s; late duplicates arrive within seconds.
_MAX_ENTRY_COUNT = 8_192


class SentIds:
    """Remembers which request ids were sent to which address.

    A duplicate of a response may arrive late on the connection of its
    request. It has the same id as a repeat of the request, so on that
    connection it would be taken for the response to the repeat. Repeats are
    therefore sent on another connection.

    :param max_count: entries to keep; the least recently sent go first.
    """

    def __init__(self, max_count: int = _MAX_ENTRY_COUNT) -> None:
        self._max_count = max_count
        self._ids: OrderedDict[tuple[str, ids.RequestId], None]
        self._ids = OrderedDict()

    def record_send(self, address: str, request_id: ids.RequestId) -> bool:
        """Record a request; return whether its id is new to the address."""
        key = (address, request_id)
        was_sent = key in self._ids
        self._ids[key] = None
        self._ids.move_to_end(key)
        if len(self._ids) > self._max_count:
            self._ids.popitem(last=False)
        return not was_sent
