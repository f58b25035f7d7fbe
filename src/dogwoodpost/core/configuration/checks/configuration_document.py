"""Reads a configuration from a document in the product's own format."""

from __future__ import annotations

from typing import Any
from typing import TYPE_CHECKING

import msgspec

from dogwoodpost.core.configuration.checks.check_finding import warning
from dogwoodpost.core.configuration.checks.json_document import JsonDocument
from dogwoodpost.core.configuration.checks.json_document import path_of
from dogwoodpost.core.configuration.delta import SECTIONS
from dogwoodpost.core.configuration.model import ClientAccount
from dogwoodpost.core.configuration.model import Configuration
from dogwoodpost.core.configuration.model import KeyRecord
from dogwoodpost.core.configuration.model import Route
from dogwoodpost.core.configuration.model import Service
from dogwoodpost.core.decoding import decode_json
from dogwoodpost.errors import MalformedDataError

if TYPE_CHECKING:
    from collections.abc import Iterator

    from dogwoodpost.core.configuration.checks.check_finding import (
        CheckFinding,
    )

_ENTRY_TYPES: dict[str, Any] = {
    'client_accounts': ClientAccount,
    'keys': KeyRecord,
    'services': Service,
    'routes': Route,
}
_NAME_FIELDS = {
    'client_accounts': 'client_account_id',
    'keys': 'key_id',
    'services': 'name',
    'routes': 'name',
}


def read_configuration(data: bytes) -> Configuration:
    """Return the configuration of a document, which may have comments.

    :raises DocumentError: the document can't be read.
    """
    document = JsonDocument(data, allow_comments=True)
    try:
        return decode_json(document.data, Configuration)
    except MalformedDataError as error:
        _fail_at_entry(document)
        document.fail(str(error))


def misnamed_entries(configuration: Configuration) -> Iterator[CheckFinding]:
    """Yield a finding for each entry under another name than its own."""
    for section in SECTIONS:
        field = _NAME_FIELDS[section]
        for name, entry in getattr(configuration, section).items():
            if getattr(entry, field) != name:
                yield warning(
                    f'{section}.{name}.{field}',
                    f'{getattr(entry, field)!r} differs from the key of the '
                    'entry',
                    'use one name, because references look up the key',
                )


def _fail_at_entry(document: JsonDocument) -> None:
    """Raise the error of the first entry that can't be decoded.

    The decoder does not state the keys of dictionaries in its messages.

    :raises DocumentError: there is such an entry.
    """
    try:
        sections = decode_json(document.data, dict[str, msgspec.Raw])
        for section in SECTIONS:
            raw_entries = decode_json(
                bytes(sections.get(section, b'{}')), dict[str, msgspec.Raw]
            )
            for name, raw in raw_entries.items():
                try:
                    decode_json(bytes(raw), _ENTRY_TYPES[section])
                except MalformedDataError as error:
                    path = (section, name, *path_of(str(error)))
                    document.fail(str(error), path)
    except MalformedDataError:
        return
