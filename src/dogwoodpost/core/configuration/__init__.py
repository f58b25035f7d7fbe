"""Configuration: model, changes, validation, spread and freshness."""

from __future__ import annotations

from dogwoodpost.core.configuration.changes import apply_change
from dogwoodpost.core.configuration.delta import apply_delta
from dogwoodpost.core.configuration.delta import compute_delta
from dogwoodpost.core.configuration.delta import Delta
from dogwoodpost.core.configuration.delta import field_differences
from dogwoodpost.core.configuration.delta import FieldDifference
from dogwoodpost.core.configuration.model import ClientAccount
from dogwoodpost.core.configuration.model import ColdStart
from dogwoodpost.core.configuration.model import Configuration
from dogwoodpost.core.configuration.model import KeyRecord
from dogwoodpost.core.configuration.model import Limits
from dogwoodpost.core.configuration.model import NO_LIMITS
from dogwoodpost.core.configuration.model import Route
from dogwoodpost.core.configuration.model import RouteKind
from dogwoodpost.core.configuration.model import Service
from dogwoodpost.core.configuration.model import ServiceKind
from dogwoodpost.core.configuration.model import WeightedService
from dogwoodpost.core.configuration.model import ZoneScale
from dogwoodpost.core.configuration.route_index import RouteIndex
from dogwoodpost.core.configuration.validation import validate

__all__ = (
    'NO_LIMITS',
    'ClientAccount',
    'ColdStart',
    'Configuration',
    'Delta',
    'FieldDifference',
    'KeyRecord',
    'Limits',
    'Route',
    'RouteIndex',
    'RouteKind',
    'Service',
    'ServiceKind',
    'WeightedService',
    'ZoneScale',
    'apply_change',
    'apply_delta',
    'compute_delta',
    'field_differences',
    'validate',
)
