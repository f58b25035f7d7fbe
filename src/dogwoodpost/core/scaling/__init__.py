"""Automatic scaling of endpoints per availability zone."""

from __future__ import annotations

from dogwoodpost.core.scaling.daily_profile import DailyProfile
from dogwoodpost.core.scaling.scaler import Scaler
from dogwoodpost.core.scaling.scaler import ScalingSettings
from dogwoodpost.core.scaling.scaler import ZoneLoad
from dogwoodpost.core.scaling.spread import clamp_each
from dogwoodpost.core.scaling.spread import clamp_total
from dogwoodpost.core.scaling.spread import redistribute_lost_demand
from dogwoodpost.core.scaling.zone_loads import zone_loads

__all__ = (
    'DailyProfile',
    'Scaler',
    'ScalingSettings',
    'ZoneLoad',
    'redistribute_lost_demand',
    'clamp_each',
    'clamp_total',
    'zone_loads',
)
