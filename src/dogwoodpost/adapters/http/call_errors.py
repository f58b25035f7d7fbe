"""Descriptions of failed calls, without what their peers sent."""

from __future__ import annotations

import os

import aiohttp

# Errors of calls whose connection or response failed.
CALL_ERRORS = (aiohttp.ClientError, OSError, ValueError)


class CallError(aiohttp.ClientError):
    """A failed call; the text has no bytes of its peer."""


def call_failure(error: BaseException) -> str:
    """Return what happened to a call, without bytes that its peer sent.

    aiohttp's errors quote malformed responses, and whole heads of responses.
    """
    name = type(error).__name__
    if isinstance(error, CallError):
        return f'{name}: {error}'
    if isinstance(error, OSError) and error.errno is not None:
        return f'{name}: {os.strerror(error.errno)}'
    return name
