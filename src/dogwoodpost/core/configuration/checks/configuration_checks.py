"""All checks of a configuration."""

from __future__ import annotations

from typing import TYPE_CHECKING

from dogwoodpost.core.configuration.checks.check_finding import CheckFinding
from dogwoodpost.core.configuration.checks.contradicting_limits import (
    contradicting_limits,
)
from dogwoodpost.core.configuration.checks.severity import Severity
from dogwoodpost.core.configuration.checks.unreachable_routes import (
    unreachable_routes,
)
from dogwoodpost.core.configuration.checks.unused_entries import unused_entries
from dogwoodpost.core.configuration.checks.version_differences import (
    version_differences,
)

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Iterator

    from dogwoodpost.core.configuration.checks.check_context import (
        CheckContext,
    )
    from dogwoodpost.core.configuration.model import Configuration
    from dogwoodpost.core.findings import Finding


def check_configuration(
    configuration: Configuration,
    context: CheckContext,
    before: Configuration | None = None,
) -> Iterator[CheckFinding]:
    """Yield the findings about a configuration that the product accepts.

    :param before: version to compare with, None for no comparison.
    """
    yield from unreachable_routes(configuration, context.matching)
    yield from unused_entries(configuration, context)
    yield from contradicting_limits(configuration, context)
    if before is not None:
        yield from version_differences(before, configuration)


def as_errors(findings: Iterable[Finding]) -> Iterator[CheckFinding]:
    """Yield the findings of the product's validation as errors."""
    for finding in findings:
        yield CheckFinding(
            severity=Severity.ERROR,
            place=finding.place,
            found=finding.found,
            action=f'expected {finding.expected}',
        )
