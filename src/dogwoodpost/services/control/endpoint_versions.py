"""Weight versions of endpoints, published to all processes."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
import structlog

from dogwoodpost.core import ids
from dogwoodpost.errors import RowConflictError
from dogwoodpost.errors import StoreError
from dogwoodpost.ports.row_store import RowCheck
from dogwoodpost.ports.row_store import RowKey
from dogwoodpost.ports.row_store import RowWrite
from dogwoodpost.services.rows import decode_record
from dogwoodpost.services.rows import encode_record

if TYPE_CHECKING:
    from collections.abc import Sequence

    from dogwoodpost.core.membership.endpoint_registry import EndpointRegistry
    from dogwoodpost.core.routing import Endpoint
    from dogwoodpost.core.weights.loading_endpoints import LoadingEndpoints
    from dogwoodpost.ports.row_store import RowStore
    from dogwoodpost.ports.row_store import VersionedRow

_log = structlog.get_logger(__name__)
TABLE = 'endpoint_versions'


class _Record(msgspec.Struct, frozen=True, kw_only=True):
    """Row value with the weight versions of one endpoint.

    :param incarnation: incarnation of the endpoint that the versions belong
        to.
    :param versions: weight version that is loaded, by model.
    :param loading: models that the endpoint is being ordered to load.
    """

    incarnation: ids.Incarnation
    versions: dict[ids.ModelName, ids.WeightVersion]
    loading: tuple[ids.ModelName, ...] = ()


class EndpointVersions:
    """Publishes and follows weight loads of endpoints and their results.

    The rows are hints that arrive before the endpoints' own entries: a
    process that sends work to an endpoint reads the version from its response.
    """

    def __init__(
        self,
        registry: EndpointRegistry,
        store: RowStore,
        loading_endpoints: LoadingEndpoints,
    ) -> None:
        self._registry = registry
        self._store = store
        self._loading_endpoints = loading_endpoints
        self._row_versions: dict[ids.EndpointId, int] = {}

    async def publish(
        self,
        endpoint: Endpoint,
        versions: dict[ids.ModelName, ids.WeightVersion],
        now_s: float,
        *,
        loading: tuple[ids.ModelName, ...] = (),
    ) -> None:
        """Record versions in this process and write them for the others.

        A failed write is not repeated.

        :param versions: weight version by model.
        :param now_s: monotonic time in seconds.
        :param loading: models that the endpoint is being ordered to load.
        """
        record = _Record(
            incarnation=endpoint.agent_incarnation,
            versions=versions,
            loading=loading,
        )
        self._apply_record(endpoint.endpoint_id, record, now_s)
        key = RowKey(TABLE, '', endpoint.endpoint_id)
        row_version = self._row_versions.get(endpoint.endpoint_id, 0)
        try:
            self._row_versions[
                endpoint.endpoint_id
            ] = await self._store.commit(
                [RowCheck(key, row_version)],
                [RowWrite(key, encode_record(record))],
            )
        except RowConflictError as error:
            for row in error.rows:
                self._row_versions[endpoint.endpoint_id] = row.version
        except StoreError as error:
            _log.info(
                'endpoint_versions_not_told',
                endpoint=endpoint.endpoint_id,
                error=str(error),
            )

    def apply(self, rows: Sequence[VersionedRow], now_s: float) -> None:
        """Apply changed rows."""
        for row in rows:
            endpoint_id = ids.EndpointId(row.key.key)
            self._row_versions[endpoint_id] = row.version
            if row.value is None:
                self._row_versions.pop(endpoint_id)
            record = decode_record(row, _Record)
            if record is not None:
                self._apply_record(endpoint_id, record, now_s)

    def replace(self, rows: Sequence[VersionedRow], now_s: float) -> None:
        """Apply all rows of the table."""
        self.apply(rows, now_s)

    def note_contact(self, now_s: float, as_of_s: float) -> None:
        """Do nothing: the rows are hints, whatever their age."""

    def _apply_record(
        self, endpoint_id: ids.EndpointId, record: _Record, now_s: float
    ) -> None:
        endpoint = self._registry.get(endpoint_id)
        if endpoint and endpoint.agent_incarnation != record.incarnation:
            return
        self._registry.note_versions(
            endpoint_id, record.incarnation, record.versions, now_s
        )
        for model in record.versions:
            if model in record.loading:
                self._loading_endpoints.begin(endpoint_id, model, now_s)
            else:
                self._loading_endpoints.end(endpoint_id, model)
