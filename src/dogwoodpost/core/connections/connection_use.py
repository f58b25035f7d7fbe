"""Times at which one connection was used and heard from."""

from __future__ import annotations

import msgspec

# A call that is given up sooner tells nothing about its connection.
_MIN_SILENCE_S = 0.2
# Limit on the time since the last contact with a trusted connection.
_MAX_TRUSTED_IDLE_S = 0.75


def trusted_idle_s(silence_s: float) -> float:
    """Return how long a connection that still works may have been idle.

    A connection that was heard from in the second half of a silence is
    unlikely to have been lost together with the silent one.

    :param silence_s: how long the silent connection received nothing.
    :returns: longest time since the last contact, in seconds.
    """
    return min(silence_s / 2, _MAX_TRUSTED_IDLE_S)


class CallSilence(msgspec.Struct, frozen=True, kw_only=True):
    """A call that was given up while its connection received nothing.

    :param call_id: id of the request, empty if it has none.
    :param call_number: number of the call on its connection, from 1.
    :param has_worked: the connection had received bytes before.
    :param since_s: start of the silence, in the time of the caller's clock.
    :param duration_s: time without received bytes.
    :param idle_s: time from the last contact to the call.
    :param age_s: time since the connection was opened.
    """

    call_id: str
    call_number: int
    has_worked: bool
    since_s: float
    duration_s: float
    idle_s: float
    age_s: float

    @property
    def trusted_idle_s(self) -> float:
        """Return how long a connection that still works may be idle."""
        return trusted_idle_s(self.duration_s)


class ConnectionUse:
    """Follows the calls on one connection.

    :param opened_s: when the connection was opened, in the time of the
        caller's clock.
    """

    def __init__(self, opened_s: float) -> None:
        self.opened_s = opened_s
        self._received_s: float | None = None
        self._call_id = ''
        self._call_count = 0
        self._call_start_s: float | None = None
        self._call_idle_s = 0.0

    @property
    def last_contact_s(self) -> float:
        """Return when the peer was last heard from."""
        return self.opened_s if self._received_s is None else self._received_s

    def begin_call(self, call_id: str, now_s: float) -> None:
        """Record that a call begins."""
        self._call_id = call_id
        self._call_count += 1
        self._call_start_s = now_s
        self._call_idle_s = self.idle_s(now_s)

    def end_call(self) -> None:
        """Record that the call has ended."""
        self._call_start_s = None

    def note_received(self, now_s: float) -> None:
        """Record that bytes were received."""
        self._received_s = now_s

    def idle_s(self, now_s: float) -> float:
        """Return the time since the last contact."""
        return now_s - self.last_contact_s

    def is_suspect(self, silence: CallSilence, now_s: float) -> bool:
        """Return whether the connection may be lost like the silent one."""
        return self.idle_s(now_s) > silence.trusted_idle_s

    def outlived(self, silence: CallSilence, now_s: float) -> bool:
        """Return whether the connection works in spite of a silence.

        Only a connection that was open when the silence began tells that
        those which are as old still work.
        """
        is_older = self.opened_s < silence.since_s
        return is_older and not self.is_suspect(silence, now_s)

    def silence(self, now_s: float) -> CallSilence | None:
        """Return the silence of the current call.

        :returns: None without a call, or if bytes arrived a moment ago.
        """
        if self._call_start_s is None:
            return None
        since_s = max(self._call_start_s, self.last_contact_s)
        if now_s - since_s < _MIN_SILENCE_S:
            return None
        return CallSilence(
            call_id=self._call_id,
            call_number=self._call_count,
            has_worked=self._received_s is not None,
            since_s=since_s,
            duration_s=now_s - since_s,
            idle_s=self._call_idle_s,
            age_s=now_s - self.opened_s,
        )
