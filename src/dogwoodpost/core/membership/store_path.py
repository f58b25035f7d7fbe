"""Whether a process reaches the store by itself."""

from __future__ import annotations

import math

# The direct path is tried again after this time without it.
_RETRY_S = 1.0
# Feeds and heartbeats call more often than this.
_MAX_CONTACT_AGE_S = 1.2


class StorePath:
    """Chooses between the direct path to the store and one by a peer.

    The store may turn single hosts away, or be cut off from them, while it
    serves all others. After a failure calls go by a peer; one at a time that
    changes nothing tries the direct path again.
    """

    def __init__(self) -> None:
        self._failed_s: float | None = None
        self._contact_s = -math.inf

    def takes_direct(self, now_s: float, *, may_probe: bool) -> bool:
        """Return whether the next call goes directly.

        :param may_probe: the call may be lost without harm.
        """
        if self._failed_s is None:
            return True
        if not may_probe or now_s - self._failed_s < _RETRY_S:
            return False
        self._failed_s = now_s
        return True

    def note_success(self, now_s: float) -> None:
        """Note an answer of the store."""
        self._failed_s = None
        self._contact_s = now_s

    def note_failure(self, now_s: float) -> None:
        """Note a call that the store refused or did not answer."""
        self._failed_s = now_s

    def serves_peers(self, now_s: float) -> bool:
        """Return whether calls of peers are likely to be answered."""
        is_recent = now_s - self._contact_s <= _MAX_CONTACT_AGE_S
        return is_recent and self._failed_s is None
