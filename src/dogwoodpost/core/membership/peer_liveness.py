"""Whether a peer hears this process and is heard by it."""

from __future__ import annotations

from collections import deque

HEARTBEAT_INTERVAL_S = 1.0
SILENCE_S = 3.0
MAX_UNECHOED_COUNT = 64


class PeerLiveness:
    """Follows the heartbeats in both directions.

    Each heartbeat echoes the last sequence received from the other side, so
    a connection that is silent in one direction is found by both. Times are
    seconds of the caller's monotonic clock.
    """

    def __init__(self, now_s: float) -> None:
        self.last_sequence = 0
        self._heard_s = now_s
        self._echoed = 0
        self._unechoed: deque[tuple[int, float]] = deque()
        self._reconnected_s = now_s

    @property
    def echoed_sequence(self) -> int:
        """Return the newest heartbeat that the peer has echoed."""
        return self._echoed

    def record_sent(self, sequence: int, now_s: float) -> None:
        """Note a heartbeat sent to the peer."""
        # The oldest one decides, so a long silence needs no more of them.
        if len(self._unechoed) < MAX_UNECHOED_COUNT:
            self._unechoed.append((sequence, now_s))

    def record_heard(
        self, sequence: int, echo_sequence: int, now_s: float
    ) -> None:
        """Note a heartbeat of the peer; late ones say nothing new."""
        if sequence <= self.last_sequence:
            return
        self.last_sequence = sequence
        self._heard_s = now_s
        self._echoed = max(self._echoed, echo_sequence)
        while self._unechoed and self._unechoed[0][0] <= self._echoed:
            self._unechoed.popleft()

    def silence_s(self, now_s: float) -> float:
        """Return for how long the peer has not been heard."""
        return now_s - self._heard_s

    def unheard_s(self, now_s: float) -> float:
        """Return for how long the peer has not heard this process."""
        if not self._unechoed:
            return 0.0
        return now_s - self._unechoed[0][1]

    def is_live(self, now_s: float) -> bool:
        """Return whether both directions work."""
        return (
            self.silence_s(now_s) < SILENCE_S
            and self.unheard_s(now_s) < SILENCE_S
        )

    def reconnect_if_due(self, now_s: float) -> bool:
        """Return whether to open a new connection to the peer now."""
        if self.is_live(now_s):
            return False
        if now_s - self._reconnected_s < SILENCE_S:
            return False
        self._reconnected_s = now_s
        return True

    def take_over_sent(self, other: PeerLiveness) -> None:
        """Keep the heartbeats sent to an earlier incarnation of the peer."""
        self._unechoed = other._unechoed
        self._reconnected_s = other._reconnected_s
