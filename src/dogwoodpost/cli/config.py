"""``dogwoodpost config``: checks settings and prints their schema."""

from __future__ import annotations

import json
from enum import Enum
from pathlib import Path

import cyclopts

from dogwoodpost.config import AgentSettings
from dogwoodpost.config import EntrySettings
from dogwoodpost.config import load_settings
from dogwoodpost.config import ProcessSettings

config_app = cyclopts.App(name='config', help='Check and describe settings.')


class Role(Enum):
    """Kinds of process that have settings."""

    ENTRY = 'entry'
    AGENT = 'agent'


_MODELS: dict[Role, type[ProcessSettings]] = {
    Role.ENTRY: EntrySettings,
    Role.AGENT: AgentSettings,
}


@config_app.command
def check(role: Role, path: Path) -> None:
    """Check a settings file; exit with 2 and all findings if it is wrong."""
    load_settings(path, _MODELS[role])
    print(f'{path}: ok')


@config_app.command
def schema(role: Role) -> None:
    """Print the JSON schema of a role's settings."""
    print(json.dumps(_MODELS[role].model_json_schema(), indent=2))
