"""Differences between two versions, with their effects."""

from __future__ import annotations

from typing import Any
from typing import TYPE_CHECKING

import msgspec

from dogwoodpost.core.configuration.checks.check_finding import info
from dogwoodpost.core.configuration.checks.check_finding import warning
from dogwoodpost.core.configuration.delta import compute_delta
from dogwoodpost.core.configuration.delta import SECTIONS

if TYPE_CHECKING:
    from collections.abc import Iterator

    from dogwoodpost.core.configuration.checks.check_finding import (
        CheckFinding,
    )
    from dogwoodpost.core.configuration.model import Configuration

_ADDED_EFFECTS = {
    'client_accounts': 'its keys may send requests',
    'keys': 'the key is valid from this version on',
    'services': 'routes may send requests to it',
    'routes': 'requests that match it are served',
}
_REMOVED_EFFECTS = {
    'client_accounts': 'its requests are refused from this version on',
    'keys': 'the key ends; requests with it are refused',
    'services': 'routes to it lose service',
    'routes': 'its requests lose service, unless a shorter prefix matches',
}
_FIELD_EFFECTS = {
    'host': 'requests to the former host lose service',
    'path_prefix': 'requests to the former prefix lose service',
    'service': 'requests go to another service',
    'weighted_services': 'requests are divided in another way',
    'client_account_id': 'the key belongs to another account',
    'digest': 'the former key ends',
}
_LARGEST_VALUE_LENGTH = 80


def version_differences(
    before: Configuration, after: Configuration
) -> Iterator[CheckFinding]:
    """Yield a finding for each entry or field that differs."""
    delta = compute_delta(before, after)
    for section in SECTIONS:
        old: dict[str, Any] = getattr(before, section)
        for name, entry in getattr(delta, section).items():
            # The platform's key ids are digests; 12 digits identify a key.
            shown = name[:12] if section == 'keys' else name
            place = f'{section}.{shown}'
            if entry is None:
                yield warning(place, 'removed', _REMOVED_EFFECTS[section])
            elif name not in old:
                yield info(place, 'added', _ADDED_EFFECTS[section])
            else:
                yield from _field_differences(place, old[name], entry)


def _field_differences(
    place: str, old: Any, new: Any
) -> Iterator[CheckFinding]:
    for field in old.__struct_fields__:
        before, after = getattr(old, field), getattr(new, field)
        if before == after:
            continue
        effect, loses = _effect(field, before, after)
        found = 'changed'
        if field != 'digest':
            found = f'changed from {_text(before)} to {_text(after)}'
        create = warning if loses else info
        yield create(f'{place}.{field}', found, effect)


def _effect(field: str, before: Any, after: Any) -> tuple[str, bool]:
    """Return the effect of a change, and whether someone loses service."""
    if field in {'enabled', 'open_to_all'} and not after:
        who = 'the account' if field == 'enabled' else 'callers without a key'
        return f'{who} loses service', True
    if field == 'revoked' and after:
        return 'the key ends; requests with it are refused', True
    if field == 'client_account_ids':
        lost = sorted(set(before) - set(after))
        if lost:
            return f'these accounts lose service: {", ".join(lost)}', True
    if field == 'allowed_regions' and after.regions is not None:
        if before.regions is None or not before.regions <= after.regions:
            return 'endpoints in other regions get no requests', True
    effect = _FIELD_EFFECTS.get(field, 'applies from this version on')
    return effect, field in {'host', 'path_prefix', 'digest'}


def _text(value: Any) -> str:
    text = msgspec.json.encode(value).decode()
    if len(text) > _LARGEST_VALUE_LENGTH:
        return f'{text[:_LARGEST_VALUE_LENGTH]}...'
    return text
