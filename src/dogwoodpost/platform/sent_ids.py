"""Which requests went to which endpoint on a kept connection."""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from dogwoodpost.core import ids

# Late copies come within seconds; at 300 calls a second, half a minute fits.
_MAX_COUNT = 8_192


class SentIds:
    """Tells the first sending of an id to an address from the later ones.

    A second copy of a response may come late on the connection of its
    request. It names the same id as a repeat of the request, so that it
    would pass for the response to the repeat on that connection.
    """

    def __init__(self, max_count: int = _MAX_COUNT) -> None:
        self._max_count = max_count
        self._ids: OrderedDict[tuple[str, ids.RequestId], None]
        self._ids = OrderedDict()

    def record_send(self, address: str, request_id: ids.RequestId) -> bool:
        """Note a sending; return whether the address has not had the id."""
        key = (address, request_id)
        is_known = key in self._ids
        self._ids[key] = None
        self._ids.move_to_end(key)
        if len(self._ids) > self._max_count:
            self._ids.popitem(last=False)
        return not is_known
