"""The row by which an entry registers itself."""

from __future__ import annotations

import msgspec

from dogwoodpost.core import ids

ENTRY_ROW_PREFIX = 'members/entry/'


class EntryMember(msgspec.Struct, frozen=True, kw_only=True):
    """Value of the row ``members/entry/{process_id}``, as JSON."""

    process_id: ids.ProcessId
    incarnation: ids.Incarnation
    host_id: ids.HostId
    region: ids.Region
    availability_zone: ids.AvailabilityZone
    peer_address: str


def entry_row_key(process_id: ids.ProcessId) -> str:
    """Return the key of an entry's row."""
    return f'{ENTRY_ROW_PREFIX}{process_id}'


def encode_entry_member(member: EntryMember) -> bytes:
    """Return the row's value."""
    return msgspec.json.encode(member)


def decode_entry_member(value: bytes) -> EntryMember:
    """Read the row's value.

    :raises msgspec.MsgspecError: the value is not such a row.
    """
    return msgspec.json.decode(value, type=EntryMember)
