"""Choice between direct store calls and calls relayed by a peer."""

from __future__ import annotations

import math

# Delay after a failure until the direct path is tried again.
_RETRY_DELAY_S = 1.0
# Feeds and heartbeats call the store more often than this.
_MAX_CONTACT_AGE_S = 1.2


class StorePath:
    """Chooses between the direct path to the store and relay by a peer.

    The store may refuse calls of single hosts, or be unreachable from them,
    while it serves all others. After a failure, calls are relayed by a peer.
    One read-only call at a time tries the direct path again.
    """

    def __init__(self) -> None:
        self._failed_s: float | None = None
        self._contact_s = -math.inf

    @property
    def has_failed(self) -> bool:
        """Return whether the last direct call failed."""
        return self._failed_s is not None

    def takes_direct(self, now_s: float, *, may_probe: bool) -> bool:
        """Return whether the next call uses the direct path.

        :param may_probe: whether the call is read-only, so that it may fail
            without harm.
        """
        if self._failed_s is None:
            return True
        if not may_probe or now_s - self._failed_s < _RETRY_DELAY_S:
            return False
        self._failed_s = now_s
        return True

    def note_success(self, now_s: float) -> None:
        """Record an answer of the store to a direct call."""
        self._failed_s = None
        self._contact_s = now_s

    def note_failure(self, now_s: float) -> None:
        """Record a call that the store refused or did not answer."""
        self._failed_s = now_s

    def serves_peers(self, now_s: float) -> bool:
        """Return whether calls relayed for peers are likely to succeed."""
        is_recent = now_s - self._contact_s <= _MAX_CONTACT_AGE_S
        return is_recent and self._failed_s is None
