"""Order in which the waiting batch items of one process get places."""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING
from typing import TypeVar

import msgspec

from dogwoodpost.core import ids
from dogwoodpost.core.allowed_regions import AllowedRegions
from dogwoodpost.core.allowed_regions import ANY_REGION

if TYPE_CHECKING:
    from collections.abc import Iterator

_Waiter = TypeVar('_Waiter')


class PlacementRequest(msgspec.Struct, frozen=True, kw_only=True):
    """An item's requirements for an endpoint, and its urgency.

    :param allowed_regions: regions of the endpoints that may run the item.
    :param job_id: job of the item; empty for items outside of jobs.
    :param group_id: group of the item within its job, None without groups.
    :param client_account_id: account of the job, None if it has none.
    :param due_s: when the job's results are due, on the process's clock.
    :param expected_token_count: expected output length, in tokens.
    :param expected_duration_s: expected time to generate the rest of the
        output; 0.0 if the time between events is unknown.
    :param expected_event_count: expected number of events left, 0.0 if
        unknown; None if endpoints are compared without regard to it.
    :param avoided_endpoint_ids: endpoints at which the item failed.
    :param avoided_until_s: when those endpoints may be used again, since there
        may be no others.
    :param interrupted_endpoint_id: endpoint at which the item's last run was
        interrupted; used only if no other endpoint has a free place, since
        the interruption may have been chance.
    """

    service: ids.ServiceName
    model: ids.ModelName | None
    min_version: ids.WeightVersion | None
    due_s: float
    expected_token_count: int
    expected_duration_s: float = 0.0
    expected_event_count: float | None = None
    avoided_endpoint_ids: frozenset[ids.EndpointId] = frozenset()
    avoided_until_s: float = 0.0
    interrupted_endpoint_id: ids.EndpointId | None = None
    allowed_regions: AllowedRegions = ANY_REGION
    job_id: ids.JobId = ids.JobId('')
    item_id: ids.ItemId = ids.ItemId('')
    group_id: ids.GroupId | None = None
    client_account_id: ids.ClientAccountId | None = None


def urgency_key(request: PlacementRequest) -> tuple[float, int]:
    """Return a sort key by the latest time at which an item must start.

    Several steps are open at the same time, with more items than places. A
    step ends with its longest item, which takes nearly all of the step's
    time; short items of the previous step can start after that item and
    still end in time. Of items with the same time, the longest comes first.
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
        """Add a request; return the number that identifies it."""
        number = next(self._numbers)
        self._requests[number] = request
        return number

    def remove(self, number: int) -> None:
        """Remove a request; an unknown number has no effect."""
        self._requests.pop(number, None)

    def by_urgency(self) -> Iterator[tuple[int, PlacementRequest]]:
        """Yield the requests, the most urgent first."""
        return iter(
            sorted(
                self._requests.items(),
                key=lambda entry: (urgency_key(entry[1]), entry[0]),
            )
        )
