"""``dogwoodpost entry`` and ``dogwoodpost agent``."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path
from typing import TYPE_CHECKING

from dogwoodpost.config import AgentSettings
from dogwoodpost.config import EntrySettings
from dogwoodpost.config import load_settings
from dogwoodpost.config import ProcessSettings
from dogwoodpost.observability import configure_logs
from dogwoodpost.services.process import run_until_stopped

if TYPE_CHECKING:
    from collections.abc import Callable

    import mode


def entry(path: Path) -> None:
    """Run an entry process with a settings file."""
    # Other commands must not wait for the import of the process.
    from dogwoodpost.services.entry.process import build_entry_process

    settings = load_settings(path, EntrySettings)
    _run(settings, lambda: build_entry_process(settings))


def agent(path: Path) -> None:
    """Run an agent process with a settings file."""
    # Other commands must not wait for the import of the process.
    from dogwoodpost.services.agent.process import build_agent_process

    settings = load_settings(path, AgentSettings)
    _run(settings, lambda: build_agent_process(settings))


def _run(settings: ProcessSettings, build: Callable[[], mode.Service]) -> None:
    configure_logs(settings.log, process_id=settings.process_id)

    async def run() -> int:
        return await run_until_stopped(build())

    sys.exit(asyncio.run(run()))
