"""Order in which batch items of one process get places."""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING
from typing import TypeVar

import msgspec

from dogwoodpost.core import ids

if TYPE_CHECKING:
    from collections.abc import Iterator

_Waiter = TypeVar('_Waiter')


class PlacementRequest(msgspec.Struct, frozen=True, kw_only=True):
    """What an item needs of an endpoint, and how urgent it is.

    :param due_s: when the job's results are due, on the process's clock.
    :param expected_token_count: estimate of the output.
    :param expected_duration_s: estimate of the time to generate what is left;
        0.0 if the pace is unknown.
    :param avoided_endpoint_ids: endpoints at which the item failed.
    :param avoided_until_s: they are used again from then on, for lack of
        others.
    :param interrupted_endpoint_id: where its last run broke off, which may be
        chance; used while no other endpoint has a place.
    """

    service: ids.ServiceName
    model: ids.ModelName | None
    min_version: ids.WeightVersion | None
    due_s: float
    expected_token_count: int
    expected_duration_s: float = 0.0
    avoided_endpoint_ids: frozenset[ids.EndpointId] = frozenset()
    avoided_until_s: float = 0.0
    interrupted_endpoint_id: ids.EndpointId | None = None


def urgency(request: PlacementRequest) -> tuple[float, int]:
    """Return a sort key: the item first that must start soonest.

    Load: several steps are open, with more items than places. A step ends
    with its longest item, which takes nearly all of its time; short items of
    the step before can wait for it and are still in time.
    """
    start_by_s = request.due_s - request.expected_duration_s
    return (start_by_s, -request.expected_token_count)


class WaitingItems:
    """Items that wait for a place, most urgent first."""

    def __init__(self) -> None:
        self._requests: dict[int, PlacementRequest] = {}
        self._numbers = itertools.count()

    def __len__(self) -> int:
        return len(self._requests)

    def add(self, request: PlacementRequest) -> int:
        """Add a request; return the number that it is known by."""
        number = next(self._numbers)
        self._requests[number] = request
        return number

    def remove(self, number: int) -> None:
        """Take a request off; an unknown number has no effect."""
        self._requests.pop(number, None)

    def by_urgency(self) -> Iterator[tuple[int, PlacementRequest]]:
        """Yield the requests, the most urgent first."""
        return iter(
            sorted(
                self._requests.items(),
                key=lambda one: (urgency(one[1]), one[0]),
            )
        )
