"""The ``dogwoodpost`` command."""

from __future__ import annotations

import importlib.metadata

import cyclopts

app = cyclopts.App(
    name='dogwoodpost',
    help='Rollout service for reinforcement learning.',
    version=importlib.metadata.version('dogwoodpost'),
)


@app.command
def version() -> None:
    """Print the version."""
    print(importlib.metadata.version('dogwoodpost'))


def main() -> None:
    """Run the command line."""
    app()
