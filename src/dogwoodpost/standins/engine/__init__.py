"""Stand-in for a model engine."""

from __future__ import annotations

from dogwoodpost.standins.engine.app import create_app
from dogwoodpost.standins.engine.app import ENGINE
from dogwoodpost.standins.engine.engine import Engine
from dogwoodpost.standins.engine.generation import completion_text
from dogwoodpost.standins.engine.settings import EngineFaults
from dogwoodpost.standins.engine.settings import EngineSettings

__all__ = (
    'ENGINE',
    'Engine',
    'EngineFaults',
    'EngineSettings',
    'completion_text',
    'create_app',
)
