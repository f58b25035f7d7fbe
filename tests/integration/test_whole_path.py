"""The complete system in one process, over real protocols on loopback."""

from __future__ import annotations

from dogwoodpost.demo import local_system
from dogwoodpost.demo import run_scenario


async def test_demo_scenario_succeeds() -> None:
    """Guards against components that work alone but not together.

    The scenario itself checks each result: own responses, each sample once,
    the revoked key on an open stream, no key at an endpoint, usage reported.
    """
    async with local_system() as system:
        lines = await run_scenario(system)
    assert len(lines) == 11
