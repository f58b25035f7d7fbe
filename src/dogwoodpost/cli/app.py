"""The ``dogwoodpost`` command."""

from __future__ import annotations

import importlib.metadata
import sys

import cyclopts

from dogwoodpost.cli.admin import admin_app
from dogwoodpost.cli.config import config_app
from dogwoodpost.cli.demo import demo
from dogwoodpost.cli.processes import agent
from dogwoodpost.cli.processes import entry
from dogwoodpost.cli.standin import standin
from dogwoodpost.cli.trainer import standin_trainer
from dogwoodpost.errors import DogwoodpostError
from dogwoodpost.errors import InvalidInputError

_EXIT_FAILURE = 1
_EXIT_INVALID_INPUT = 2

app = cyclopts.App(
    name='dogwoodpost',
    help='Rollout service for reinforcement learning.',
    version=importlib.metadata.version('dogwoodpost'),
)
app.command(entry)
app.command(agent)
app.command(admin_app)
app.command(config_app)
app.command(demo)
app.command(standin)
app.command(standin_trainer)


@app.command
def version() -> None:
    """Print the version."""
    print(importlib.metadata.version('dogwoodpost'))


def main() -> None:
    """Run the command line; errors go to standard error."""
    try:
        app()
    except InvalidInputError as error:
        print(error, file=sys.stderr)
        sys.exit(_EXIT_INVALID_INPUT)
    except DogwoodpostError as error:
        print(f'dogwoodpost: {error}', file=sys.stderr)
        sys.exit(_EXIT_FAILURE)
