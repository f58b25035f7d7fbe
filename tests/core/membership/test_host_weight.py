"""Weights of hosts by all their resources."""

from __future__ import annotations

import pytest

from dogwoodpost.core import ids
from dogwoodpost.core.membership.host_weight import host_weights
from dogwoodpost.core.membership.host_weight import HostResources

LARGE = HostResources(
    cores=2.0, memory_mb=552.0, descriptor_count=8_200, link_mbps=300.0
)


def weights(
    hosts: dict[str, HostResources], *candidates: str
) -> dict[str, float]:
    return host_weights(
        {ids.ProcessId(name): host for name, host in hosts.items()},
        [ids.ProcessId(name) for name in candidates or hosts],
    )


@pytest.mark.parametrize(
    ('host', 'weight'),
    [
        (HostResources(cores=2.0, memory_mb=276.0, link_mbps=300.0), 0.5),
        (HostResources(cores=2.0, descriptor_count=4_100), 0.5),
        (HostResources(cores=1.5, memory_mb=552.0, link_mbps=150.0), 0.5),
        # Much processor time behind a narrow link.
        (HostResources(cores=2.0, memory_mb=552.0, link_mbps=21.0), None),
        # A row of an old build states cores only.
        (HostResources(cores=1.0), 0.5),
        (HostResources(), 1.0),
    ],
)
def test_weight_is_that_of_the_scarcest_known_resource(
    host: HostResources, weight: float | None
) -> None:
    """Guards against owners that lack memory, descriptors or bandwidth.

    An unknown amount must not count as none.
    """
    assert weights({'large': LARGE, 'host': host}).get('host') == weight


def test_small_hosts_own_jobs_where_no_larger_one_may() -> None:
    """Guards against a zone without owners.

    This is a zone of small hosts, or one whose large hosts can't be used now.
    """
    small = HostResources(cores=0.27, memory_mb=152.0, link_mbps=21.0)
    assert weights({'a': small, 'b': small}) == {'a': 1.0, 'b': 1.0}
    hosts = {'large': LARGE, 'a': small, 'b': small}
    assert set(weights(hosts)) == {'large'}
    left = weights(hosts, 'a', 'b')
    assert left == {'a': pytest.approx(0.07), 'b': pytest.approx(0.07)}
    assert weights({}) == {}
