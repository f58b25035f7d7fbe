"""HTTP calls to endpoints."""

from __future__ import annotations

from dogwoodpost.adapters.http.endpoint_client import HttpEndpointClient

__all__ = ('HttpEndpointClient',)
