"""Detects peers that are unreachable in either direction."""

from __future__ import annotations

from collections import deque
from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from dogwoodpost.core import ids

HEARTBEAT_PERIOD_S = 1.0
# Three missed heartbeats. The limit may not be larger, because a leaving
# endpoint must stop receiving work within 3 s.
SILENCE_TIMEOUT_S = 3.0
# After the connection is reopened, a peer has the same time again to answer
# before the work shared with it is given up.
GONE_TIMEOUT_S = 2 * SILENCE_TIMEOUT_S
_MAX_PAST_INCARNATIONS = 16


class HeartbeatResult(Enum):
    """How a heartbeat compares with the earlier ones of its sender."""

    ACCEPTED = 'accepted'
    RESTARTED = 'restarted'
    OUTDATED = 'outdated'


class PeerLiveness:
    """State of the heartbeats exchanged with one peer.

    Both directions are checked. A heartbeat of the peer shows that its
    messages arrive here; the sequence number that it echoes shows that
    messages of this process arrive at the peer. Times are seconds of the
    caller's monotonic clock.
    """

    def __init__(self, incarnation: ids.Incarnation, now_s: float) -> None:
        self.incarnation = incarnation
        self.incarnation_since_s = now_s
        self.received_sequence = 0
        self.confirmed_sequence = 0
        self._past_incarnations: deque[ids.Incarnation] = deque(
            maxlen=_MAX_PAST_INCARNATIONS
        )
        self._heard_s = now_s
        self._confirmed_s = now_s
        self._reopened_s = now_s

    def record_heartbeat(
        self,
        incarnation: ids.Incarnation,
        sequence: int,
        echo_sequence: int,
        now_s: float,
    ) -> HeartbeatResult:
        """Record a heartbeat.

        Heartbeats of an earlier incarnation, repeated ones and those out of
        order are OUTDATED and change nothing.
        """
        if incarnation in self._past_incarnations:
            return HeartbeatResult.OUTDATED
        result = HeartbeatResult.ACCEPTED
        if incarnation != self.incarnation:
            result = HeartbeatResult.RESTARTED
            self._past_incarnations.append(self.incarnation)
            self.incarnation = incarnation
            self.incarnation_since_s = now_s
            self.confirmed_sequence = 0
            self._confirmed_s = now_s
        elif sequence <= self.received_sequence:
            return HeartbeatResult.OUTDATED
        self.received_sequence = sequence
        self._heard_s = now_s
        if echo_sequence > self.confirmed_sequence:
            self.confirmed_sequence = echo_sequence
            self._confirmed_s = now_s
        return result

    def silence_s(self, now_s: float) -> float:
        """Return the seconds since the peer's last heartbeat."""
        return now_s - self._heard_s

    def is_silent(self, now_s: float) -> bool:
        """Return whether heartbeats have been missing for the timeout."""
        return self.silence_s(now_s) > SILENCE_TIMEOUT_S

    def is_gone(self, now_s: float) -> bool:
        """Return whether work shared with the peer must be given up."""
        return self.silence_s(now_s) > GONE_TIMEOUT_S

    def unconfirmed_s(self, now_s: float) -> float:
        """Return the seconds since the peer last confirmed a new heartbeat."""
        return now_s - self._confirmed_s

    def is_reachable(self, now_s: float) -> bool:
        """Return whether heartbeats arrive in both directions."""
        silence_s = max(self.silence_s(now_s), self.unconfirmed_s(now_s))
        return silence_s <= SILENCE_TIMEOUT_S

    def check_reconnect_due(self, now_s: float) -> bool:
        """Return whether the connection must be reopened now.

        After a True result, the next one follows after more than 3 s.
        """
        last_s = min(self._heard_s, self._confirmed_s)
        if now_s - max(last_s, self._reopened_s) <= SILENCE_TIMEOUT_S:
            return False
        self._reopened_s = now_s
        return True
