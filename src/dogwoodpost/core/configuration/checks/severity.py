"""Severity of a finding."""

from __future__ import annotations

from enum import Enum


class Severity(Enum):
    """Severities, the gravest first."""

    ERROR = 'error'
    WARNING = 'warning'
    INFO = 'info'
