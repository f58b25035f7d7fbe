"""Maps errors to gRPC statuses with typed details."""

from __future__ import annotations

from contextlib import contextmanager
from typing import TYPE_CHECKING

import structlog
from grpclib import GRPCError
from grpclib import Status

from dogwoodpost import errors
from dogwoodpost.admin import dogwoodpost_admin_pb2 as pb

if TYPE_CHECKING:
    from collections.abc import Iterator

_logger = structlog.get_logger(__name__)

_STATUSES: tuple[tuple[type[errors.DogwoodpostError], Status], ...] = (
    (errors.RequestIdReusedError, Status.ALREADY_EXISTS),
    (errors.RevisionNotKeptError, Status.NOT_FOUND),
    (errors.EntryNotReadyError, Status.UNAVAILABLE),
    (errors.StoreOutcomeUnknownError, Status.UNKNOWN),
    (errors.StoreError, Status.UNAVAILABLE),
)


@contextmanager
def grpc_errors(method: str) -> Iterator[None]:
    """Raise errors of the package as gRPC errors."""
    try:
        yield
    except errors.InvalidInputError as error:
        raise _invalid_input(error) from error
    except errors.ConfigurationConflictError as error:
        raise _conflict(error) from error
    except errors.DogwoodpostError as error:
        status = _status(error)
        _logger.info('admin_call_failed', method=method, status=status.name)
        raise GRPCError(status, _message(error)) from error


def _status(error: errors.DogwoodpostError) -> Status:
    for error_type, status in _STATUSES:
        if isinstance(error, error_type):
            return status
    return Status.INTERNAL


def _message(error: errors.DogwoodpostError) -> str:
    if isinstance(error, errors.StoreOutcomeUnknownError):
        return (
            'the change may have taken effect; repeat it with the same '
            'request id to learn the result'
        )
    return str(error)


def _invalid_input(error: errors.InvalidInputError) -> GRPCError:
    detail = pb.InvalidInputDetail(
        findings=[
            pb.Finding(
                place=finding.place,
                found=finding.found,
                expected=finding.expected,
            )
            for finding in error.findings
        ]
    )
    return GRPCError(Status.INVALID_ARGUMENT, str(error), [detail])


def _conflict(error: errors.ConfigurationConflictError) -> GRPCError:
    detail = pb.ConflictDetail(
        current_revision=error.current_revision,
        differing_fields=error.differing_fields,
    )
    return GRPCError(Status.ABORTED, str(error), [detail])
