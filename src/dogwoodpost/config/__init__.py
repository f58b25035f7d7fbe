"""Settings of entry and agent processes."""

from __future__ import annotations

from dogwoodpost.config.loader import load_settings
from dogwoodpost.config.settings import AgentSettings
from dogwoodpost.config.settings import EndpointSettings
from dogwoodpost.config.settings import EntrySettings
from dogwoodpost.config.settings import ListenAddress
from dogwoodpost.config.settings import LogSettings
from dogwoodpost.config.settings import plain_secret
from dogwoodpost.config.settings import PlatformSettings
from dogwoodpost.config.settings import ProcessSettings

__all__ = (
    'AgentSettings',
    'EndpointSettings',
    'EntrySettings',
    'ListenAddress',
    'LogSettings',
    'PlatformSettings',
    'ProcessSettings',
    'load_settings',
    'plain_secret',
)
