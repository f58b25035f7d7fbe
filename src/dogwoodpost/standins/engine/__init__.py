"""Stand-in for a model engine."""

from __future__ import annotations

from dogwoodpost.standins.engine.app import create_app
from dogwoodpost.standins.engine.app import ENGINE
from dogwoodpost.standins.engine.faults import EngineFaults
from dogwoodpost.standins.engine.settings import EngineSettings
from dogwoodpost.standins.engine.token_chain import completion_text

__all__ = (
    'ENGINE',
    'EngineFaults',
    'EngineSettings',
    'completion_text',
    'create_app',
)
