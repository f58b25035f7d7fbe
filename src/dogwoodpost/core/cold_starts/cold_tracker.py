"""Which endpoints are cold, or may be."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from dogwoodpost.core import ids

# An endpoint that starts writes an entry at once. It has been read after this
# time, which covers the pause between two reads and one slow answer.
ENTRY_DELAY_S = 0.8
# A longer gap between two ticks means that this process was suspended.
_MAX_TICK_GAP_S = 1.0


class DoubtReason(Enum):
    """Why an endpoint may have restarted; values are log fields."""

    FAILED_CALL = 'failed_call'
    EVACUATION_ENDED = 'evacuation_ended'
    SUSPENSION = 'suspension'


class _EndpointState(msgspec.Struct):
    """What is known of one endpoint.

    :param warm_at_s: when the endpoint is warm, by its own statement.
    :param doubted_s: when something suggested a restart, None if nothing did
        since the last statement.
    :param running_s: when it was certainly running after that.
    """

    warm_at_s: float
    doubted_s: float | None = None
    running_s: float | None = None


class ColdTracker:
    """Follows the statements of endpoints, and events that put them in doubt.

    An endpoint writes an entry when it starts or becomes cold, which states
    how long it stays so. A failed call, the end of an evacuation and a
    suspension of this process put endpoints in doubt. They count as cold until
    they have answered and an entry written before that would have been read;
    while entries can't be read, until they have answered for as long as an
    endpoint is cold. Times are seconds of the process's monotonic clock.

    :param on_doubt: called when an endpoint that was in no doubt gets into
        one.
    """

    def __init__(
        self,
        on_doubt: Callable[
            [ids.EndpointId, DoubtReason], None
        ] = lambda _endpoint_id, _reason: None,
    ) -> None:
        self._on_doubt = on_doubt
        self._states: dict[ids.EndpointId, _EndpointState] = {}
        self._read_s = float('-inf')
        self._tick_s: float | None = None

    def note_entry(
        self, endpoint_id: ids.EndpointId, remaining_s: float, now_s: float
    ) -> None:
        """Record an endpoint's entry.

        :param remaining_s: how long the endpoint stays cold; 0 if it is warm.
        """
        warm_at_s = now_s + remaining_s
        state = self._states.get(endpoint_id)
        if state is None:
            self._states[endpoint_id] = _EndpointState(warm_at_s)
            return
        doubted_s = state.doubted_s
        if doubted_s is None or now_s - doubted_s >= ENTRY_DELAY_S:
            state.doubted_s = None
            state.warm_at_s = warm_at_s
        elif remaining_s > 0.0:
            state.warm_at_s = max(state.warm_at_s, warm_at_s)

    def note_read(self, now_s: float) -> None:
        """Record that all entries up to now have been read."""
        self._read_s = now_s

    def forget(self, endpoint_id: ids.EndpointId) -> None:
        """Drop an endpoint whose entry was removed."""
        self._states.pop(endpoint_id, None)

    def doubt(
        self,
        endpoint_ids: Iterable[ids.EndpointId],
        reason: DoubtReason,
        now_s: float,
    ) -> None:
        """Record that endpoints may have restarted."""
        for endpoint_id in endpoint_ids:
            state = self._states.get(endpoint_id)
            if state is None:
                continue
            if state.doubted_s is None:
                self._on_doubt(endpoint_id, reason)
            state.doubted_s = now_s
            # After a suspension, nothing suggests that an endpoint is down.
            is_suspension = reason is DoubtReason.SUSPENSION
            state.running_s = now_s if is_suspension else None

    def note_answer(self, endpoint_id: ids.EndpointId, now_s: float) -> None:
        """Record that an endpoint has run a request."""
        state = self._states.get(endpoint_id)
        if state is None or state.doubted_s is None:
            return
        if state.running_s is None:
            state.running_s = now_s

    def is_cold(
        self, endpoint_id: ids.EndpointId, cold_s: float, now_s: float
    ) -> bool:
        """Return whether an endpoint is cold or may be.

        :param cold_s: how long an endpoint of the service is cold.
        """
        self._check_suspension(now_s)
        state = self._states.get(endpoint_id)
        if state is None or now_s < state.warm_at_s:
            return True
        if state.doubted_s is None:
            return False
        if state.running_s is None:
            return True
        was_read = self._read_s - state.running_s >= ENTRY_DELAY_S
        if not was_read and now_s - state.running_s < cold_s:
            return True
        state.doubted_s = None
        return False

    def tick(self, now_s: float) -> None:
        """Record that this process runs; called several times a second."""
        self._check_suspension(now_s)
        self._tick_s = now_s

    def _check_suspension(self, now_s: float) -> None:
        """Put all endpoints in doubt after a suspension of this process."""
        if self._tick_s is None or now_s - self._tick_s <= _MAX_TICK_GAP_S:
            return
        self._tick_s = now_s
        self.doubt(list(self._states), DoubtReason.SUSPENSION, now_s)
