"""Identity that a process sends in every message."""

from __future__ import annotations

from typing import Any

import msgspec

from dogwoodpost.core import ids


class ProcessIdentity(msgspec.Struct, frozen=True, kw_only=True):
    """Id, incarnation and peer address of a process."""

    process_id: ids.ProcessId
    incarnation: ids.Incarnation
    address: str

    def sender_fields(self) -> dict[str, Any]:
        """Return the fields that identify the sender in a message."""
        return {
            'sender_id': self.process_id,
            'sender_incarnation': self.incarnation,
            'sender_address': self.address,
        }
