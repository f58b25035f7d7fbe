"""HTTP interface of an entry for callers."""

from __future__ import annotations

from dogwoodpost.services.entry.http.active_requests import ActiveRequests
from dogwoodpost.services.entry.http.app import ACTIVE_REQUESTS
from dogwoodpost.services.entry.http.app import authenticate
from dogwoodpost.services.entry.http.app import create_app
from dogwoodpost.services.entry.http.app import LIFECYCLE
from dogwoodpost.services.entry.http.error_body import error_response
from dogwoodpost.services.entry.http.lifecycle import Lifecycle

__all__ = (
    'ACTIVE_REQUESTS',
    'LIFECYCLE',
    'ActiveRequests',
    'Lifecycle',
    'authenticate',
    'create_app',
    'error_response',
)
