"""Demo: the complete system in one process, with stand-ins."""

from __future__ import annotations

from dogwoodpost.demo.local_system import local_system
from dogwoodpost.demo.local_system import LocalSystem
from dogwoodpost.demo.scenario import run_scenario

__all__ = ('LocalSystem', 'local_system', 'run_scenario')
