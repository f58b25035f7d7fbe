"""HTTP towards callers and endpoints."""

from __future__ import annotations

from dogwoodpost.adapters.http.endpoint_client import HttpEndpointClient
from dogwoodpost.adapters.http.endpoint_session import endpoint_session

__all__ = ('HttpEndpointClient', 'endpoint_session')
