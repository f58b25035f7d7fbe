"""Operators' choices of how a process shares and protects its endpoints."""

from __future__ import annotations

from dogwoodpost.core.policy.policy import AdaptiveMovePolicy
from dogwoodpost.core.policy.policy import CapacitySharePolicy
from dogwoodpost.core.policy.policy import HedgingPolicy
from dogwoodpost.core.policy.policy import HostOwnershipPolicy
from dogwoodpost.core.policy.policy import LoadExchangePolicy
from dogwoodpost.core.policy.policy import Policy
from dogwoodpost.core.policy.policy import ScoringLimitPolicy
from dogwoodpost.core.policy.policy_holder import PolicyHolder
from dogwoodpost.core.policy.policy_reader import PolicyReader

__all__ = (
    'AdaptiveMovePolicy',
    'CapacitySharePolicy',
    'HedgingPolicy',
    'HostOwnershipPolicy',
    'LoadExchangePolicy',
    'Policy',
    'PolicyHolder',
    'PolicyReader',
    'ScoringLimitPolicy',
)
