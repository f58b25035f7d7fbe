"""Checks of a configuration before it is sent."""

from __future__ import annotations

from dogwoodpost.core.configuration.checks.check_context import CheckContext
from dogwoodpost.core.configuration.checks.check_context import OWN_FORMAT
from dogwoodpost.core.configuration.checks.check_context import RouteMatching
from dogwoodpost.core.configuration.checks.check_finding import CheckFinding
from dogwoodpost.core.configuration.checks.check_finding import warning
from dogwoodpost.core.configuration.checks.check_report import CheckReport
from dogwoodpost.core.configuration.checks.check_report import report
from dogwoodpost.core.configuration.checks.configuration_checks import (
    as_errors,
)
from dogwoodpost.core.configuration.checks.configuration_checks import (
    check_configuration,
)
from dogwoodpost.core.configuration.checks.configuration_document import (
    misnamed_entries,
)
from dogwoodpost.core.configuration.checks.configuration_document import (
    read_configuration,
)
from dogwoodpost.core.configuration.checks.json_document import JsonDocument
from dogwoodpost.core.configuration.checks.json_document import (
    MAX_DOCUMENT_BYTES,
)
from dogwoodpost.core.configuration.checks.severity import Severity

__all__ = (
    'MAX_DOCUMENT_BYTES',
    'OWN_FORMAT',
    'CheckContext',
    'CheckFinding',
    'CheckReport',
    'JsonDocument',
    'RouteMatching',
    'Severity',
    'as_errors',
    'check_configuration',
    'misnamed_entries',
    'read_configuration',
    'report',
    'warning',
)
