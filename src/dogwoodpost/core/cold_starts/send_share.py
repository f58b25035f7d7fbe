"""Division of a cold endpoint's allowance among the processes."""

from __future__ import annotations

from typing import TYPE_CHECKING

import xxhash

if TYPE_CHECKING:
    from collections.abc import Collection

    from dogwoodpost.core import ids


def send_share(
    allowance: int,
    endpoint_id: ids.EndpointId,
    process_id: ids.ProcessId,
    sender_ids: Collection[ids.ProcessId],
) -> int:
    """Return how many requests a process may send in any second.

    All senders have the same share. If there are more of them than requests
    in the allowance, those that rank first by rendezvous hashing have one
    each. The shares add up to no more than the allowance as long as each
    sender knows all others, even if they differ in further processes that
    they know: these only make a share smaller.

    :param allowance: requests that all senders may send in any second.
    :param sender_ids: known senders, including this process.
    """
    if len(sender_ids) <= allowance:
        return allowance // max(len(sender_ids), 1)
    own_weight = _weight(endpoint_id, process_id)
    rank = sum(
        _weight(endpoint_id, sender_id) > own_weight
        for sender_id in sender_ids
    )
    return int(rank < allowance)


def _weight(
    endpoint_id: ids.EndpointId, process_id: ids.ProcessId
) -> tuple[int, str]:
    digest = xxhash.xxh3_64_intdigest(f'{endpoint_id}/{process_id}')
    return digest, process_id
