"""Which endpoints are cold, or may be."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from dogwoodpost.core import ids

# An entry that is read this soon after a doubt may have been written before
# it. Covers the pause between two reads of the entries and one slow read.
ENTRY_DELAY_S = 0.8
# A longer gap between two reads of the entries counts as an outage.
_MAX_READ_GAP_S = 1.5
# A longer gap between two ticks means that this process was suspended.
_MAX_TICK_GAP_S = 1.0


class DoubtReason(Enum):
    """Why an endpoint may have restarted; values are log fields."""

    FAILED_CALL = 'failed_call'
    MISSING_ENTRY = 'missing_entry'
    EVACUATION_ENDED = 'evacuation_ended'
    SUSPENSION = 'suspension'


class _EndpointState(msgspec.Struct):
    """What is known of one endpoint.

    :param warm_at_s: when the endpoint is warm, by its own statement.
    :param doubted_s: when something suggested a restart, None if nothing did
        since the last statement.
    :param answered_s: when it first answered after that.
    :param entry_s: when its entry was last read.
    """

    warm_at_s: float
    entry_s: float
    doubted_s: float | None = None
    answered_s: float | None = None


class ColdTracker:
    """Follows the statements of endpoints, and events that put them in doubt.

    An endpoint states in its entry how long it stays cold. A failed call, a
    missing entry, the end of an evacuation and a suspension of this process
    put the endpoint in doubt: it counts as cold until an entry read later says
    otherwise, or until it has answered for as long as an endpoint is cold.
    Times are seconds of the process's monotonic clock.

    :param entry_interval_s: longest time between two entries of an endpoint.
    :param on_doubt: called when an endpoint that was in no doubt gets into
        one.
    """

    def __init__(
        self,
        entry_interval_s: float,
        on_doubt: Callable[
            [ids.EndpointId, DoubtReason], None
        ] = lambda _endpoint_id, _reason: None,
    ) -> None:
        self._on_doubt = on_doubt
        self._max_entry_age_s = 2 * entry_interval_s + ENTRY_DELAY_S
        self._states: dict[ids.EndpointId, _EndpointState] = {}
        self._contact_s: float | None = None
        self._contact_since_s = 0.0
        self._tick_s: float | None = None

    def note_entry(
        self, endpoint_id: ids.EndpointId, remaining_s: float, now_s: float
    ) -> None:
        """Record an endpoint's entry.

        :param remaining_s: how long the endpoint stays cold; 0 if it is warm.
        """
        state = self._states.get(endpoint_id)
        if state is None:
            self._states[endpoint_id] = _EndpointState(
                warm_at_s=now_s + remaining_s, entry_s=now_s
            )
            return
        state.entry_s = now_s
        doubted_s = state.doubted_s
        if doubted_s is None or now_s - doubted_s >= ENTRY_DELAY_S:
            state.warm_at_s = now_s + remaining_s
            state.doubted_s = None

    def forget(self, endpoint_id: ids.EndpointId) -> None:
        """Drop an endpoint whose entry was removed."""
        self._states.pop(endpoint_id, None)

    def note_contact(self, now_s: float) -> None:
        """Record that all entries up to now have been read.

        Endpoints without an entry for too long may have restarted.
        """
        last_s = self._contact_s
        self._contact_s = now_s
        if last_s is None or now_s - last_s > _MAX_READ_GAP_S:
            self._contact_since_s = now_s
        silent_ids = [
            endpoint_id
            for endpoint_id, state in self._states.items()
            if now_s - max(state.entry_s, self._contact_since_s)
            > self._max_entry_age_s
        ]
        self.doubt(silent_ids, DoubtReason.MISSING_ENTRY, now_s)

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
            state.answered_s = None

    def note_answer(self, endpoint_id: ids.EndpointId, now_s: float) -> None:
        """Record that an endpoint has run a request."""
        state = self._states.get(endpoint_id)
        if state is None or state.doubted_s is None:
            return
        if state.answered_s is None:
            state.answered_s = now_s

    def is_cold(
        self, endpoint_id: ids.EndpointId, cold_s: float, now_s: float
    ) -> bool:
        """Return whether an endpoint is cold or may be.

        :param cold_s: how long an endpoint of the service is cold.
        """
        self._check_suspension(now_s)
        state = self._states.get(endpoint_id)
        if state is None:
            return True
        if now_s < state.warm_at_s:
            return True
        if state.doubted_s is None:
            return False
        return state.answered_s is None or now_s - state.answered_s < cold_s

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
