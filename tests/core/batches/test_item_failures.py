"""Failed runs of one batch item."""

from __future__ import annotations

import pytest

from dogwoodpost.core import ids
from dogwoodpost.core.batches.item_failures import ItemFailures


@pytest.mark.parametrize(
    ('endpoints', 'is_final'),
    [('aaa', False), ('aab', False), ('abc', True), ('aaaa', True)],
)
def test_failures_at_one_endpoint_count_once(
    endpoints: str, is_final: bool
) -> None:
    """Guards against items given up within 0.3 s because of one endpoint.

    On scale-1 of the enlarged site of Casa Verso, 71 items had all of their
    three failures at the same endpoint, whose health check passed.
    """
    failures = ItemFailures(max_attempt_count=3)
    for endpoint in endpoints:
        assert not failures.is_final
        failures.record(ids.EndpointId(endpoint))
    assert failures.is_final is is_final
