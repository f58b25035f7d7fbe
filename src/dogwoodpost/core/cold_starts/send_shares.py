"""Division of a cold endpoint's allowance among the processes.

No process sees what the others send. Each sender knows all other senders (see
``SenderView``), so that the shares of any senders add up to no more than the
allowance, even if they know of further processes and differ in these.
"""

from __future__ import annotations

import abc
from typing import TYPE_CHECKING

import xxhash

if TYPE_CHECKING:
    from collections.abc import Collection

    from dogwoodpost.core import ids


class SendShares(abc.ABC):
    """Divides the requests that a cold endpoint may get in a second."""

    @abc.abstractmethod
    def share(
        self,
        allowance: int,
        endpoint_id: ids.EndpointId,
        process_id: ids.ProcessId,
        sender_ids: Collection[ids.ProcessId],
    ) -> int:
        """Return how many requests a process may send in any second.

        :param allowance: requests that all senders may send in any second.
        :param sender_ids: known senders, including this process.
        """


class EqualShares(SendShares):
    """Gives the same share to each sender.

    Answers a load that arrives at all processes alike. If there are more
    senders than requests in the allowance, those that rank first by
    rendezvous hashing get one each.
    """

    def share(
        self,
        allowance: int,
        endpoint_id: ids.EndpointId,
        process_id: ids.ProcessId,
        sender_ids: Collection[ids.ProcessId],
    ) -> int:
        """Return how many requests a process may send in any second."""
        if len(sender_ids) <= allowance:
            return allowance // max(len(sender_ids), 1)
        return int(_rank(endpoint_id, process_id, sender_ids) < allowance)


class SingleSender(SendShares):
    """Gives the whole allowance to one sender.

    Answers a load of a few senders with bursts of work, each of which gets
    some of the endpoints to itself.
    """

    def share(
        self,
        allowance: int,
        endpoint_id: ids.EndpointId,
        process_id: ids.ProcessId,
        sender_ids: Collection[ids.ProcessId],
    ) -> int:
        """Return how many requests a process may send in any second."""
        is_first = _rank(endpoint_id, process_id, sender_ids) == 0
        return allowance if is_first else 0


def _rank(
    endpoint_id: ids.EndpointId,
    process_id: ids.ProcessId,
    sender_ids: Collection[ids.ProcessId],
) -> int:
    """Return how many senders precede a process for an endpoint."""
    own_weight = _weight(endpoint_id, process_id)
    return sum(
        _weight(endpoint_id, sender_id) > own_weight
        for sender_id in sender_ids
        if sender_id != process_id
    )


def _weight(
    endpoint_id: ids.EndpointId, process_id: ids.ProcessId
) -> tuple[int, str]:
    digest = xxhash.xxh3_64_intdigest(f'{endpoint_id}/{process_id}')
    return digest, process_id
