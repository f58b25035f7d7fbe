"""Configuration: its model, changes, spread and freshness."""

from __future__ import annotations

from dogwoodpost.core.configuration.model import ClientAccount
from dogwoodpost.core.configuration.model import Configuration
from dogwoodpost.core.configuration.model import KeyRecord
from dogwoodpost.core.configuration.model import Limits
from dogwoodpost.core.configuration.model import Route
from dogwoodpost.core.configuration.model import Service
from dogwoodpost.core.configuration.model import ServiceKind

__all__ = (
    'ClientAccount',
    'Configuration',
    'KeyRecord',
    'Limits',
    'Route',
    'Service',
    'ServiceKind',
)
