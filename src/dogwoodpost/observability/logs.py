"""Configuration of structured logging."""

from __future__ import annotations

import logging
import sys
from typing import TYPE_CHECKING

import msgspec
import structlog

if TYPE_CHECKING:
    from dogwoodpost.config.settings import LogSettings
    from dogwoodpost.observability.log_buffer import LogBuffer


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
    logging.basicConfig(level=logging.WARNING, stream=sys.stderr)


def _serialize(event: object, **_options: object) -> str:
    return msgspec.json.encode(event, enc_hook=str).decode()


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
