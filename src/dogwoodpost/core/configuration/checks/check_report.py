"""Report of a configuration check."""

from __future__ import annotations

import heapq
from collections import Counter
from typing import TYPE_CHECKING

import msgspec

from dogwoodpost.core.configuration.checks.check_finding import CheckFinding
from dogwoodpost.core.configuration.checks.severity import Severity

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Iterator


class CheckReport(msgspec.Struct, frozen=True, kw_only=True):
    """The gravest findings, and the number of all by severity."""

    findings: tuple[CheckFinding, ...]
    counts: dict[str, int]
    omitted_count: int

    @property
    def exit_code(self) -> int:
        """Return 1 if there is an error, 0 otherwise."""
        return 1 if self.counts[Severity.ERROR.value] else 0

    def to_json(self) -> str:
        """Return the report as one JSON object."""
        return msgspec.json.format(msgspec.json.encode(self)).decode()

    def to_text(self) -> str:
        """Return the report as lines, the number of findings last."""
        lines = [str(finding) for finding in self.findings]
        if self.omitted_count:
            lines.append(f'... {self.omitted_count} more not shown')
        lines.append(
            ', '.join(
                f'{name}: {count}' for name, count in self.counts.items()
            )
        )
        return '\n'.join(lines)


def report(findings: Iterable[CheckFinding], limit: int) -> CheckReport:
    """Return the report of findings, of which at most ``limit`` are kept."""
    counts: Counter[Severity] = Counter()

    def counted() -> Iterator[CheckFinding]:
        for finding in findings:
            counts[finding.severity] += 1
            yield finding

    shown = heapq.nsmallest(
        max(limit, 0), counted(), key=lambda finding: finding.sort_key
    )
    if limit <= 0:
        for _ in counted():
            pass
    return CheckReport(
        findings=tuple(shown),
        counts={severity.value: counts[severity] for severity in Severity},
        omitted_count=counts.total() - len(shown),
    )
