"""Whether a peer is heard, and whether it hears this process."""

from __future__ import annotations

from collections import deque
from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from dogwoodpost.core import ids

HEARTBEAT_PERIOD_S = 1.0
# Three missed heartbeats; a leaving endpoint must stop receiving work within
# 3 s, so the bound may not be larger.
SILENCE_TIMEOUT_S = 3.0
# A peer gets as long again to answer over the reopened connection before its
# work is given up.
GONE_TIMEOUT_S = 2 * SILENCE_TIMEOUT_S
_PAST_COUNT = 16


class HeartbeatResult(Enum):
    """What a heartbeat has shown."""

    ACCEPTED = 'accepted'
    RESTARTED = 'restarted'
    OUTDATED = 'outdated'


class PeerLiveness:
    """Heartbeats exchanged with one peer.

    Both directions are watched: the peer's heartbeats show that it is heard,
    and the sequence number that they echo shows that it hears this process.
    """

    def __init__(self, incarnation: ids.Incarnation, now_s: float) -> None:
        self.incarnation = incarnation
        self.incarnation_since_s = now_s
        self.received_sequence = 0
        self.confirmed_sequence = 0
        self._past: deque[ids.Incarnation] = deque(maxlen=_PAST_COUNT)
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
        """Take a heartbeat; late ones of an earlier run change nothing."""
        if incarnation in self._past:
            return HeartbeatResult.OUTDATED
        result = HeartbeatResult.ACCEPTED
        if incarnation != self.incarnation:
            result = HeartbeatResult.RESTARTED
            self._past.append(self.incarnation)
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
        """Return for how long nothing has come from the peer."""
        return now_s - self._heard_s

    def is_silent(self, now_s: float) -> bool:
        """Return whether the peer has missed its heartbeats."""
        return self.silence_s(now_s) > SILENCE_TIMEOUT_S

    def is_gone(self, now_s: float) -> bool:
        """Return whether work with the peer is to be given up."""
        return self.silence_s(now_s) > GONE_TIMEOUT_S

    def unconfirmed_s(self, now_s: float) -> float:
        """Return for how long the peer has confirmed no new heartbeat."""
        return now_s - self._confirmed_s

    def is_reachable(self, now_s: float) -> bool:
        """Return whether the peer is heard and hears this process."""
        silence_s = max(self.silence_s(now_s), self.unconfirmed_s(now_s))
        return silence_s <= SILENCE_TIMEOUT_S

    def check_reconnect_due(self, now_s: float) -> bool:
        """Return whether to reopen the connection, at most every 3 s."""
        last_s = min(self._heard_s, self._confirmed_s)
        if now_s - max(last_s, self._reopened_s) <= SILENCE_TIMEOUT_S:
            return False
        self._reopened_s = now_s
        return True
