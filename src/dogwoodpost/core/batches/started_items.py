"""Limit on the items of a job that are started at a time."""

from __future__ import annotations

# Jobs of up to this many items start at once, whatever the capacity.
MIN_STARTED_COUNT = 256
# Items that are started for each slot of the job's services, so that a slot
# finds a waiting item when it becomes free.
_STARTED_PER_SLOT = 2


def max_started_count(slot_count: int) -> int:
    """Return how many items of a job are started at a time.

    :param slot_count: slots of the services that can run the items.
    """
    return max(MIN_STARTED_COUNT, _STARTED_PER_SLOT * slot_count)
