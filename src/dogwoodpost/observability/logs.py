"""Configuration of structured logging."""

from __future__ import annotations

import json
import logging
import sys
from typing import TYPE_CHECKING

import msgspec
import structlog

if TYPE_CHECKING:
    from dogwoodpost.config.settings import LogSettings
    from dogwoodpost.observability.log_buffer import LogBuffer

_log = structlog.get_logger(__name__)


def configure_buffered_logs(
    buffer: LogBuffer, *, process_id: str, incarnation: str
) -> None:
    """Send structured logs as JSON lines to a non-blocking buffer."""
    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt='iso', utc=True),
            structlog.processors.format_exc_info,
            structlog.processors.JSONRenderer(serializer=_serialize),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(logging.INFO),
        logger_factory=lambda *_: buffer,
        cache_logger_on_first_use=False,
    )
    structlog.contextvars.bind_contextvars(
        process_id=process_id, incarnation=incarnation
    )
    handler = _StructuredHandler(logging.WARNING)
    logging.basicConfig(level=logging.WARNING, handlers=[handler], force=True)


class _StructuredHandler(logging.Handler):
    """Passes messages of libraries on as structured log lines.

    Standard error may be a pipe that nobody reads, which would block.
    """

    def emit(self, record: logging.LogRecord) -> None:
        """Log a message; part of the interface of handlers."""
        try:
            _log.log(
                record.levelno,
                'library_message',
                logger=record.name,
                message=record.getMessage(),
                exc_info=record.exc_info,
            )
        except Exception:  # noqa: BLE001
            self.handleError(record)


def _serialize(event: object, **_options: object) -> str:
    try:
        return msgspec.json.encode(event, enc_hook=str).decode()
    except (ValueError, OverflowError, TypeError, RecursionError):
        # Text of other parties may not be valid Unicode, and integers may be
        # too large. A line that can't be written must not end its caller.
        return json.dumps({'event': 'unencodable_line', 'line': ascii(event)})


def configure_logs(settings: LogSettings, *, process_id: str = '') -> None:
    """Send structured logs to standard error."""
    renderer: structlog.typing.Processor = (
        structlog.processors.JSONRenderer()
        if settings.json_output
        else structlog.dev.ConsoleRenderer(colors=False)
    )
    level = logging.getLevelNamesMapping()[settings.level.upper()]
    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt='iso', utc=True),
            structlog.processors.format_exc_info,
            renderer,
        ],
        wrapper_class=structlog.make_filtering_bound_logger(level),
        logger_factory=structlog.PrintLoggerFactory(file=sys.stderr),
        cache_logger_on_first_use=False,
    )
    structlog.contextvars.bind_contextvars(process_id=process_id)
    logging.basicConfig(level=max(level, logging.WARNING), stream=sys.stderr)
