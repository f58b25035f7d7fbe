"""The process that a message comes from."""

from __future__ import annotations

from typing import Any

import msgspec

from dogwoodpost.core import ids


class Sender(msgspec.Struct, frozen=True, kw_only=True):
    """Fills the sender's fields of messages."""

    process_id: ids.ProcessId
    incarnation: ids.Incarnation
    address: str

    def fields(self) -> dict[str, Any]:
        """Return the fields that all messages have."""
        return {
            'sender_id': self.process_id,
            'sender_incarnation': self.incarnation,
            'sender_address': self.address,
        }
