"""Reads usage and weight versions from an engine's response."""

from __future__ import annotations

import msgspec

from dogwoodpost.core import ids
from dogwoodpost.core import messages

# A JSON response above this size is passed on without its usage.
MAX_JSON_BYTES = 4 * 1024 * 1024
MAX_EVENT_BYTES = 1024 * 1024
_DONE = b'[DONE]'
_DATA = b'data:'


class PromptTokensDetails(msgspec.Struct):
    """Part of ``usage``."""

    cached_tokens: int = 0


class Usage(msgspec.Struct):
    """Object ``usage`` of an engine's response."""

    prompt_tokens: int = 0
    completion_tokens: int = 0
    prompt_tokens_details: PromptTokensDetails | None = None


class WeightSegment(msgspec.Struct):
    """Element of ``weight_segments``."""

    weight_version: int
    token_count: int = 0


class ResponseSummary(msgspec.Struct):
    """What the agent reads of a response or of its last event."""

    usage: Usage | None = None
    weight_segments: list[WeightSegment] = []

    @property
    def weight_versions(self) -> tuple[ids.WeightVersion, ...]:
        """Return the versions in order, without repeats."""
        versions = (segment.weight_version for segment in self.weight_segments)
        return tuple(
            ids.WeightVersion(version) for version in dict.fromkeys(versions)
        )

    def fill(self, end: messages.ResponseEnd) -> messages.ResponseEnd:
        """Return an end mark with the usage."""
        usage = self.usage or Usage()
        details = usage.prompt_tokens_details or PromptTokensDetails()
        return msgspec.structs.replace(
            end,
            weight_versions=self.weight_versions,
            prompt_tokens=usage.prompt_tokens,
            cached_tokens=details.cached_tokens,
            completion_tokens=usage.completion_tokens,
        )


_decoder = msgspec.json.Decoder(ResponseSummary)


class UsageReader:
    """Follows the body of one response.

    ``is_whole`` is false while an event stream has not sent ``[DONE]``.
    """

    def __init__(self, headers: tuple[tuple[str, str], ...]) -> None:
        content_type = _content_type(headers)
        self._is_stream = content_type == 'text/event-stream'
        self._is_json = content_type == 'application/json'
        self._buffer = bytearray()
        self._last_data = b''
        self._is_done = False

    @property
    def is_whole(self) -> bool:
        """Return whether the stream has its end mark, if it needs one."""
        return self._is_done or not self._is_stream

    def feed(self, data: bytes) -> None:
        """Take the next piece of the body."""
        if self._is_stream:
            self._buffer += data
            self._read_lines()
        elif self._is_json:
            self._buffer += data
            if len(self._buffer) > MAX_JSON_BYTES:
                self._is_json = False
                self._buffer.clear()

    def summary(self) -> ResponseSummary:
        """Return what the response tells, empty if it tells nothing."""
        data = bytes(self._buffer) if self._is_json else self._last_data
        try:
            return _decoder.decode(data)
        except (msgspec.MsgspecError, UnicodeDecodeError):
            return ResponseSummary()

    def _read_lines(self) -> None:
        end = self._buffer.rfind(b'\n')
        if end < 0:
            if len(self._buffer) > MAX_EVENT_BYTES:
                self._buffer.clear()
            return
        lines = bytes(self._buffer[:end]).split(b'\n')
        del self._buffer[: end + 1]
        for line in lines:
            if not line.startswith(_DATA):
                continue
            value = line[len(_DATA) :].strip()
            if value == _DONE:
                self._is_done = True
            else:
                self._last_data = value


def _content_type(headers: tuple[tuple[str, str], ...]) -> str:
    for name, value in headers:
        if name.lower() == 'content-type':
            return value.partition(';')[0].strip().lower()
    return ''
