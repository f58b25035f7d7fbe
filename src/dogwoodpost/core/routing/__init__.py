"""Selection of endpoints for requests and batch items."""

from __future__ import annotations

from dogwoodpost.core.routing.available_endpoint import AvailableEndpoint
from dogwoodpost.core.routing.endpoint import Endpoint
from dogwoodpost.core.routing.endpoint import EndpointListener
from dogwoodpost.core.routing.endpoint_snapshot import EndpointSnapshot
from dogwoodpost.core.routing.outlier_detector import Health
from dogwoodpost.core.routing.prefix import BLOCK_BYTES
from dogwoodpost.core.routing.prefix import prefix_hashes
from dogwoodpost.core.routing.prefix import TYPICAL_BYTES_PER_TOKEN
from dogwoodpost.core.routing.prompt import prompt_bytes
from dogwoodpost.core.routing.route_query import AttemptResult
from dogwoodpost.core.routing.route_query import RouteQuery
from dogwoodpost.core.routing.router import Router
from dogwoodpost.core.routing.settings import OutlierSettings
from dogwoodpost.core.routing.settings import RouterSettings

__all__ = (
    'BLOCK_BYTES',
    'AttemptResult',
    'Endpoint',
    'EndpointListener',
    'EndpointSnapshot',
    'Health',
    'AvailableEndpoint',
    'OutlierSettings',
    'RouteQuery',
    'Router',
    'RouterSettings',
    'TYPICAL_BYTES_PER_TOKEN',
    'prefix_hashes',
    'prompt_bytes',
)
