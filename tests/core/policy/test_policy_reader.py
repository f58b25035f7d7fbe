"""Sections of the policy that are not valid."""

from __future__ import annotations

from typing import Any

import msgspec
import pytest

from dogwoodpost.core.policy import HedgingPolicy
from dogwoodpost.core.policy import LoadExchangePolicy
from dogwoodpost.core.policy import Policy
from dogwoodpost.core.policy import PolicyReader

ON = Policy(
    load_exchange=LoadExchangePolicy(enabled=True),
    hedging=HedgingPolicy(extra_send_share=0.05),
)


def test_all_mechanisms_are_off_without_a_policy() -> None:
    """Guards against mechanisms that nobody has switched on."""
    for table in (None, {}):
        policy, findings = PolicyReader().read(table, ON)
        assert policy == Policy()
        assert not findings
    for section in msgspec.structs.astuple(Policy()):
        assert not section.enabled


def test_valid_sections_are_read() -> None:
    """Guards against sections without effect."""
    table = {
        'load_exchange': {'enabled': True, 'interval_ms': 50},
        'capacity_shares': {'enabled': True, 'weights': {'m': 2.0}},
    }
    policy, findings = PolicyReader().read(table, Policy())
    assert not findings
    assert policy.load_exchange.interval_ms == 50
    assert policy.capacity_shares.weights == {'m': 2.0}
    assert not policy.hedging.enabled


@pytest.mark.parametrize(
    ('section', 'place'),
    [
        ({'hedging': {'extra_send_share': 1.5}}, 'policy.hedging'),
        ({'hedging': {'extra_send_share': -0.1}}, 'policy.hedging'),
        ({'hedging': {'extra_send_share': 'many'}}, 'policy.hedging'),
        ({'hedging': {'extra_share': 0.1}}, 'policy.hedging'),
        ({'hedging': 7}, 'policy.hedging'),
        ({'hedgeing': {}}, 'policy.hedgeing'),
        ({'scoring_limit': {'max_share': 2.0}}, 'policy.scoring_limit'),
        (
            {'capacity_shares': {'weights': {'m': 0.0}}},
            'policy.capacity_shares',
        ),
    ],
)
def test_wrong_section_changes_nothing_else(
    section: dict[str, Any], place: str
) -> None:
    """Guards against a wrong value that stops or switches other mechanisms."""
    table = {
        'load_exchange': {'enabled': True},
        'hedging': {'extra_send_share': 0.05},
        **section,
    }
    policy, findings = PolicyReader().read(table, ON)
    assert [finding.place for finding in findings] == [place]
    assert policy == ON


def test_shares_need_the_exchange_of_loads() -> None:
    """Guards against shares that are computed from stale demands."""
    table = {'capacity_shares': {'enabled': True}}
    policy, findings = PolicyReader().read(table, Policy())
    assert policy == Policy()
    assert [finding.place for finding in findings] == [
        'policy.capacity_shares'
    ]


def test_policy_that_is_no_table_is_refused() -> None:
    """Guards against a crash by a policy of another type."""
    policy, findings = PolicyReader().read([1], ON)
    assert policy == ON
    assert findings
