"""Token usage and weight versions from the response of an engine."""

from __future__ import annotations

from typing import Any

import msgspec

from dogwoodpost.core import ids

ENGINE_PATHS = frozenset({'/v1/completions', '/v1/chat/completions'})
_DATA_FIELD = b'data:'
_DONE_EVENT = b'[DONE]'
# An event of an engine has a few tokens only, so longer lines are skipped.
_MAX_LINE_BYTES = 1024 * 1024


class _TokenDetails(msgspec.Struct):
    cached_tokens: int = 0


class _Usage(msgspec.Struct):
    prompt_tokens: int = 0
    completion_tokens: int = 0
    prompt_tokens_details: _TokenDetails | None = None


class _Segment(msgspec.Struct):
    weight_version: int


class _Report(msgspec.Struct):
    usage: _Usage | None = None
    weight_segments: list[_Segment] | None = None


_DECODER = msgspec.json.Decoder(_Report)


class ResponseUsage:
    """Extracts the usage from a response as it arrives, in bounded memory.

    :param is_stream: whether the body is an event stream or one JSON document.
    :param max_body_bytes: longest JSON document that is read.
    """

    def __init__(self, *, is_stream: bool, max_body_bytes: int) -> None:
        self._is_stream = is_stream
        self._limit = _MAX_LINE_BYTES if is_stream else max_body_bytes
        self._pending = b''
        self._document = bytearray()
        self._skipping = False
        self._report = _Report()
        self.done_event_received = False

    def feed(self, data: bytes) -> None:
        """Read the next bytes of the body."""
        if not self._is_stream:
            self._feed_document(data)
            return
        *lines, rest = (self._pending + data).split(b'\n')
        for line in lines:
            if not self._skipping:
                self._read_line(line.strip())
            self._skipping = False
        if len(rest) > self._limit:
            self._skipping = True
            rest = b''
        self._pending = rest

    def fields(self) -> dict[str, Any]:
        """Return the fields of ``ResponseEnd`` that the engine reported."""
        if not self._is_stream:
            self._decode(bytes(self._document))
        usage = self._report.usage or _Usage()
        details = usage.prompt_tokens_details or _TokenDetails()
        versions = dict.fromkeys(
            ids.WeightVersion(segment.weight_version)
            for segment in self._report.weight_segments or ()
        )
        return {
            'weight_versions': tuple(versions),
            'prompt_tokens': usage.prompt_tokens,
            'cached_tokens': details.cached_tokens,
            'completion_tokens': usage.completion_tokens,
        }

    def _feed_document(self, data: bytes) -> None:
        if not self._skipping:
            self._document += data
        if len(self._document) > self._limit:
            # An incomplete document cannot be decoded.
            self._skipping = True
            self._document.clear()

    def _read_line(self, line: bytes) -> None:
        if not line.startswith(_DATA_FIELD):
            return
        data = line[len(_DATA_FIELD) :].strip()
        if data == _DONE_EVENT:
            self.done_event_received = True
        elif b'"usage"' in data:
            # Only the last event has the usage; the others are not decoded.
            self._decode(data)

    def _decode(self, data: bytes) -> None:
        try:
            report = _DECODER.decode(data)
        except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError):
            return
        if report.usage is not None:
            self._report = report
