"""Weight of a host by its scarcest resource."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from collections.abc import Collection
    from collections.abc import Mapping

    from dogwoodpost.core import ids

# Hosts with less than this share of the best weight own no jobs.
_MIN_WEIGHT_SHARE = 0.25
_MIB = 1024 * 1024
# Memory of a host that does not state it.
_DEFAULT_MEMORY_MB = 128.0


class HostResources(msgspec.Struct, frozen=True, kw_only=True):
    """Resources of a process's host; 0 stands for an unknown amount.

    :param link_mbps: bandwidth of the link, in Mbit/s.
    """

    cores: float = 0.0
    memory_mb: float = 0.0
    descriptor_count: int = 0
    link_mbps: float = 0.0

    @property
    def memory_bytes(self) -> int:
        """Return the memory to count on, in bytes."""
        return int((self.memory_mb or _DEFAULT_MEMORY_MB) * _MIB)


_NAMES = tuple(field.name for field in msgspec.structs.fields(HostResources))


def host_weights(
    hosts: Mapping[ids.ProcessId, HostResources],
    candidate_ids: Collection[ids.ProcessId],
) -> dict[ids.ProcessId, float]:
    """Return the weights of the candidates that should own jobs.

    A weight is the minimum, over the resources, of the host's amount divided
    by the largest amount of all hosts. A resource whose amount is unknown
    doesn't count; with no known amount the weight is 1.0.

    :param hosts: live hosts of one availability zone. They include those that
        are no candidates now, so that all processes get the same weights.
    :param candidate_ids: the hosts that may own the job.
    """
    largest = {
        name: max((getattr(host, name) for host in hosts.values()), default=0)
        for name in _NAMES
    }
    weights = {
        process_id: _weight(hosts[process_id], largest)
        for process_id in candidate_ids
    }
    min_weight = max(weights.values(), default=0.0) * _MIN_WEIGHT_SHARE
    return {
        process_id: weight
        for process_id, weight in weights.items()
        if weight >= min_weight
    }


def _weight(host: HostResources, largest: Mapping[str, float]) -> float:
    amounts = {name: getattr(host, name) for name in _NAMES}
    return min(
        (
            amount / largest[name]
            for name, amount in amounts.items()
            if amount > 0
        ),
        default=1.0,
    )
