"""One result of a configuration check."""

from __future__ import annotations

import msgspec

from dogwoodpost.core.configuration.checks.severity import Severity

_RANKS = {severity: rank for rank, severity in enumerate(Severity)}


class CheckFinding(msgspec.Struct, frozen=True, kw_only=True):
    """One result, with its place in the configuration.

    :param found: the value or condition that was found.
    :param action: what the operator should do, or the effect of a change.
    """

    severity: Severity
    place: str
    found: str
    action: str

    def __str__(self) -> str:
        severity = self.severity.value
        return f'{severity}: {self.place}: {self.found}; {self.action}'

    @property
    def sort_key(self) -> tuple[int, str, str]:
        """Return the key that puts the gravest findings first."""
        return _RANKS[self.severity], self.place, self.found


def warning(place: str, found: str, action: str) -> CheckFinding:
    """Return a finding of severity ``warning``."""
    return CheckFinding(
        severity=Severity.WARNING, place=place, found=found, action=action
    )


def info(place: str, found: str, action: str) -> CheckFinding:
    """Return a finding of severity ``info``."""
    return CheckFinding(
        severity=Severity.INFO, place=place, found=found, action=action
    )
