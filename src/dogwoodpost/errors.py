"""Exception hierarchy of dogwoodpost.

Every error that the project raises on purpose derives from
:class:`DogwoodpostError`. Errors that reach a caller derive from
:class:`RequestError` and carry a machine-readable code.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

    from dogwoodpost.core.findings import Finding
    from dogwoodpost.ports.row_store import VersionedRow


class DogwoodpostError(Exception):
    """Base of all errors raised by dogwoodpost."""


class InvalidInputError(DogwoodpostError):
    """Input with one or more findings, all reported together."""

    def __init__(self, findings: Sequence[Finding]) -> None:
        self.findings = tuple(findings)
        super().__init__('\n'.join(str(finding) for finding in findings))


class MalformedDataError(DogwoodpostError):
    """Bytes of another process can't be decoded."""


class DocumentError(DogwoodpostError):
    """A document can't be read; line and column say where."""

    def __init__(
        self, found: str, expected: str, line: int = 1, column: int = 1
    ) -> None:
        self.found = found
        self.expected = expected
        self.line = line
        self.column = column
        super().__init__(f'{line}:{column}: found {found}')


class SettingsError(InvalidInputError):
    """A settings file is unreadable or invalid."""


class StoreError(DogwoodpostError):
    """Base of errors of the platform's table and object stores."""


class StoreUnavailableError(StoreError):
    """The store did not accept the call; nothing changed."""


class StoreOutcomeUnknownError(StoreError):
    """The store's answer was lost; the change may have taken effect."""


class StoreRejectedError(StoreError):
    """The store refused a call for its content; a repeat is refused too."""


class MalformedRowError(StoreError):
    """A row's value can't be decoded; its content is unknown."""


class StoreConflictError(StoreError):
    """A check of a transaction failed; nothing changed."""

    def __init__(self, keys: Sequence[str]) -> None:
        self.keys = tuple(keys)
        super().__init__(f'conflicting rows: {", ".join(keys)}')


class RowConflictError(StoreError):
    """A check of a transaction failed; nothing changed.

    ``rows`` are the current rows of the transaction's checks.
    """

    def __init__(self, rows: Sequence[VersionedRow]) -> None:
        self.rows = tuple(rows)
        super().__init__(
            f'conflicting rows: {", ".join(row.key.key for row in rows)}'
        )


class HistoryLostError(StoreError):
    """The store no longer has the changes after the requested version."""


class ConfigurationConflictError(DogwoodpostError):
    """A change was based on a revision that is no longer current."""

    def __init__(
        self, current_revision: int, differing_fields: Sequence[str]
    ) -> None:
        self.current_revision = current_revision
        self.differing_fields = tuple(differing_fields)
        super().__init__(
            f'current revision is {current_revision}; differing fields: '
            f'{", ".join(differing_fields)}'
        )


class LeaseLostError(DogwoodpostError):
    """The caller does not hold the lease that the action needs."""


class TransportError(DogwoodpostError):
    """A message could not be sent to a peer."""


class EndpointError(DogwoodpostError):
    """An endpoint failed or violated the protocol."""


class EndpointSilentError(EndpointError):
    """An endpoint sent no usable data within the time limit."""


class EndpointUnsupportedError(EndpointError):
    """An endpoint lacks a control path; plain services have none at all."""


class PlatformError(DogwoodpostError):
    """A platform interface refused a call, or the call failed."""


class PlatformRateLimitError(PlatformError):
    """The platform refused a call because of its rate limit."""

    def __init__(self, message: str, retry_after_s: float) -> None:
        self.retry_after_s = retry_after_s
        super().__init__(message)


class PlatformOutcomeUnknownError(PlatformError):
    """The platform's answer was lost; the call may have taken effect."""


class MemoryExceededError(DogwoodpostError):
    """Something would take more memory than the process may use for it."""


class RequestError(DogwoodpostError):
    """An error that is reported to a caller over HTTP.

    :param code: machine-readable reason, also a label of the refusal counter.
    :param status: HTTP status code.
    :param not_run: true only if no copy of the request can still run.
    :param retry_after_s: delay before the caller may retry, in seconds.

    The attribute ``counted`` is set once the refusal counter has counted the
    error, so that outer layers don't count it again. ``refused_as_full`` is
    set if an endpoint refused the last attempt because it was full.
    """

    def __init__(
        self,
        code: str,
        message: str,
        *,
        status: int,
        not_run: bool = False,
        retry_after_s: float | None = None,
    ) -> None:
        self.code = code
        self.status = status
        self.not_run = not_run
        self.retry_after_s = retry_after_s
        self.counted = False
        self.refused_as_full = False
        super().__init__(message)


class EntryNotReadyError(DogwoodpostError):
    """This entry doesn't yet, or no longer, accept configuration changes."""


class RequestIdReusedError(DogwoodpostError):
    """A request id was already used for a different change."""


class RevisionNotKeptError(DogwoodpostError):
    """The content of a revision is unknown or no longer retained."""
