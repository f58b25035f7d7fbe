"""Differences between two revisions of the configuration."""

from __future__ import annotations

from typing import Any

import msgspec

from dogwoodpost.core import ids
from dogwoodpost.core.configuration.model import ClientAccount
from dogwoodpost.core.configuration.model import Configuration
from dogwoodpost.core.configuration.model import KeyRecord
from dogwoodpost.core.configuration.model import Route
from dogwoodpost.core.configuration.model import Service

SECTIONS = ('client_accounts', 'keys', 'services', 'routes')


class Delta(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """Changed entries of each section; None removes an entry."""

    client_accounts: dict[ids.ClientAccountId, ClientAccount | None] = (
        msgspec.field(default_factory=dict)
    )
    keys: dict[ids.KeyId, KeyRecord | None] = msgspec.field(
        default_factory=dict
    )
    services: dict[ids.ServiceName, Service | None] = msgspec.field(
        default_factory=dict
    )
    routes: dict[ids.RouteName, Route | None] = msgspec.field(
        default_factory=dict
    )


class FieldDifference(msgspec.Struct, frozen=True, kw_only=True):
    """A field with different values, as JSON; '' if the field is absent."""

    place: str
    before: str
    after: str


def compute_delta(before: Configuration, after: Configuration) -> Delta:
    """Return the delta that turns one configuration into another."""
    sections: dict[str, dict[Any, Any]] = {}
    for section in SECTIONS:
        old: dict[Any, Any] = getattr(before, section)
        new: dict[Any, Any] = getattr(after, section)
        changed = {
            name: value
            for name, value in new.items()
            if name not in old or old[name] != value
        }
        removed = {name: None for name in old if name not in new}
        sections[section] = changed | removed
    return Delta(**sections)


def apply_delta(base: Configuration, delta: Delta) -> Configuration:
    """Return the next revision, which results from a delta."""
    sections = {}
    for section in SECTIONS:
        values = getattr(base, section) | getattr(delta, section)
        sections[section] = {
            name: value for name, value in values.items() if value is not None
        }
    revision = ids.Revision(base.revision + 1)
    return Configuration(revision=revision, **sections)


def field_differences(
    before: Configuration, after: Configuration
) -> list[FieldDifference]:
    """Return the fields that differ, sorted by place."""
    old = _flatten(before)
    new = _flatten(after)
    return [
        FieldDifference(
            place=place, before=old.get(place, ''), after=new.get(place, '')
        )
        for place in sorted(old.keys() | new.keys())
        if old.get(place) != new.get(place)
    ]


def _flatten(configuration: Configuration) -> dict[str, str]:
    fields: dict[str, str] = {}
    for section in SECTIONS:
        values: dict[str, Any] = getattr(configuration, section)
        for name, value in values.items():
            _flatten_value(
                f'{section}.{name}', msgspec.to_builtins(value), fields
            )
    return fields


def _flatten_value(place: str, value: Any, fields: dict[str, str]) -> None:
    if isinstance(value, dict):
        for name, inner in value.items():
            _flatten_value(f'{place}.{name}', inner, fields)
        return
    fields[place] = msgspec.json.encode(value).decode()
