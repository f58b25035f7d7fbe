"""``dogwoodpost config``: checks settings and configurations."""

from __future__ import annotations

import json
import sys
from enum import Enum
from itertools import chain
from pathlib import Path
from typing import Literal

import cyclopts

from dogwoodpost.collection_pause import paused_collection
from dogwoodpost.config import AgentSettings
from dogwoodpost.config import EntrySettings
from dogwoodpost.config import load_settings
from dogwoodpost.config import ProcessSettings
from dogwoodpost.core.configuration import validate
from dogwoodpost.core.configuration.checks import as_errors
from dogwoodpost.core.configuration.checks import check_configuration
from dogwoodpost.core.configuration.checks import CheckReport
from dogwoodpost.core.configuration.checks import misnamed_entries
from dogwoodpost.core.configuration.checks import OWN_FORMAT
from dogwoodpost.core.configuration.checks import read_configuration
from dogwoodpost.core.configuration.checks import report
from dogwoodpost.core.findings import Finding
from dogwoodpost.document_file import read_document
from dogwoodpost.errors import InvalidInputError

config_app = cyclopts.App(
    name='config', help='Check settings and configurations.'
)


class Role(Enum):
    """Kinds of process that have settings."""

    ENTRY = 'entry'
    AGENT = 'agent'


_MODELS: dict[Role, type[ProcessSettings]] = {
    Role.ENTRY: EntrySettings,
    Role.AGENT: AgentSettings,
}


@config_app.command
def check(
    role_or_file: str,
    settings_file: Path | None = None,
    /,
    *,
    against: Path | None = None,
    format: Literal['text', 'json'] = 'text',
    limit: int = 50,
) -> None:
    """Check the settings of a role, or a configuration.

    ``check ROLE FILE`` checks settings; ``check FILE`` checks a
    configuration. It exits with 1 if a configuration has errors, and with 2
    if a file can't be read or settings are wrong.

    :param against: configuration to compare with.
    :param limit: largest number of findings to show.
    """
    if settings_file is not None:
        _check_settings(role_or_file, settings_file)
        return
    with paused_collection():
        result = _check_configuration(Path(role_or_file), against, limit)
    print(result.to_json() if format == 'json' else result.to_text())
    sys.exit(result.exit_code)


@config_app.command
def schema(role: Role) -> None:
    """Print the JSON schema of a role's settings."""
    print(json.dumps(_MODELS[role].model_json_schema(), indent=2))


def _check_settings(role_name: str, path: Path) -> None:
    try:
        role = Role(role_name.lower())
    except ValueError:
        names = ', '.join(role.value for role in Role)
        finding = Finding('role', repr(role_name), f'one of {names}')
        raise InvalidInputError([finding]) from None
    load_settings(path, _MODELS[role])
    print(f'{path}: ok')


def _check_configuration(
    path: Path, against: Path | None, limit: int
) -> CheckReport:
    configuration = read_document(path, read_configuration)
    before = None
    if against is not None:
        before = read_document(against, read_configuration)
    return report(
        chain(
            as_errors(validate(configuration)),
            misnamed_entries(configuration),
            check_configuration(configuration, OWN_FORMAT, before),
        ),
        limit,
    )
