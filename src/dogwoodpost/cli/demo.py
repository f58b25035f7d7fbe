"""``dogwoodpost demo``: runs the complete system in one process."""

from __future__ import annotations

import asyncio

from dogwoodpost.config import LogSettings
from dogwoodpost.observability import configure_logs


def demo(*, log_level: str = 'error') -> None:
    """Run requests, a rollout step and a key revocation over loopback."""
    configure_logs(LogSettings(level=log_level), process_id='demo')
    asyncio.run(_run())


async def _run() -> None:
    # Other commands must not wait for the import of the whole system.
    from dogwoodpost.demo import local_system
    from dogwoodpost.demo import run_scenario

    async with local_system() as system:
        lines = await run_scenario(system)
    width = max(len(line.action) for line in lines)
    for line in lines:
        print(f'{line.action:<{width}}  {line.result}')
    print('demo: ok')
