"""A bounded buffer between log calls and a file descriptor."""

from __future__ import annotations

import os
from collections import deque
from contextlib import suppress
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

_MAX_BUFFER_BYTES = 256 * 1024
_MAX_WRITE_BYTES = 64 * 1024


class LogBuffer:
    """Buffers log lines and writes them when :meth:`flush` is called.

    Log calls never block. Lines that don't fit into the buffer are dropped
    and counted.

    :param descriptor: file descriptor to write to; made non-blocking.
    :param on_drop: called at each drop.
    :param max_bytes: capacity of the buffer.
    """

    def __init__(
        self,
        descriptor: int,
        on_drop: Callable[[], object],
        max_bytes: int = _MAX_BUFFER_BYTES,
    ) -> None:
        with suppress(OSError):
            # A closed descriptor drops all lines.
            os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._on_drop = on_drop
        self._max_bytes = max_bytes
        self._lines: deque[bytes] = deque()
        self._size_bytes = 0
        self.dropped_count = 0

    def msg(self, message: str) -> None:
        """Buffer a line; part of the interface of structlog loggers."""
        line = message.encode(errors='backslashreplace') + b'\n'
        if self._size_bytes + len(line) > self._max_bytes:
            self.dropped_count += 1
            self._on_drop()
            return
        self._lines.append(line)
        self._size_bytes += len(line)

    log = debug = info = warn = warning = msg
    fatal = failure = err = error = critical = exception = msg

    def flush(self) -> None:
        """Write as much as the descriptor accepts without blocking."""
        while self._lines:
            chunk = self._pop_chunk()
            try:
                written = os.write(self._descriptor, chunk)
            except BlockingIOError:
                written = 0
            except OSError:
                # The reader of the log is gone: drop the chunk.
                self.dropped_count += 1
                self._on_drop()
                continue
            if written < len(chunk):
                remainder = chunk[written:]
                self._lines.appendleft(remainder)
                self._size_bytes += len(remainder)
                return

    def _pop_chunk(self) -> bytes:
        parts: list[bytes] = []
        size_bytes = 0
        while self._lines and size_bytes < _MAX_WRITE_BYTES:
            line = self._lines.popleft()
            size_bytes += len(line)
            parts.append(line)
        self._size_bytes -= size_bytes
        return b''.join(parts)
