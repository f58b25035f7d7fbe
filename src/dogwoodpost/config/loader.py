"""Loads settings from JSON with comments."""

from __future__ import annotations

from typing import Any
from typing import TYPE_CHECKING
from typing import TypeVar

import json5
import pydantic

from dogwoodpost.config.settings import StrictModel
from dogwoodpost.core.findings import Finding
from dogwoodpost.errors import SettingsError

if TYPE_CHECKING:
    from pathlib import Path

_Model = TypeVar('_Model', bound=StrictModel)

_SECRET_FIELDS = frozenset({'token'})


def load_settings(path: Path, model: type[_Model]) -> _Model:
    """Read and validate a settings file.

    :raises SettingsError: the file is unreadable or invalid; contains all
        findings, each with its place.
    """
    document = _parse(path)
    try:
        return model.model_validate(document)
    except pydantic.ValidationError as error:
        raise SettingsError(_findings(path, error)) from None


def _parse(path: Path) -> Any:
    try:
        text = path.read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as error:
        finding = Finding(str(path), str(error), 'a readable UTF-8 file')
        raise SettingsError([finding]) from None
    try:
        return json5.loads(text, allow_duplicate_keys=False)
    except ValueError as error:
        finding = Finding(str(path), str(error), 'JSON with comments')
        raise SettingsError([finding]) from None


def _findings(path: Path, error: pydantic.ValidationError) -> list[Finding]:
    findings = []
    for item in error.errors(include_url=False, include_context=False):
        location = [str(part) for part in item['loc']]
        found = _describe(location, item)
        place = f'{path}: {".".join(location) or "top level"}'
        findings.append(Finding(place, found, item['msg']))
    return findings


def _describe(location: list[str], item: Any) -> str:
    if item['type'] == 'missing':
        return 'nothing'
    if _SECRET_FIELDS.intersection(location):
        return 'a secret value'
    if isinstance(item['input'], dict):
        return 'an object'
    return repr(item['input'])
