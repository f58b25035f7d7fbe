"""Weight versions that one process has seen, told to all others."""

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
    """What is known of an endpoint.

    :param loading: models that it is being ordered to load.
    """

    incarnation: ids.Incarnation
    versions: dict[ids.ModelName, ids.WeightVersion]
    loading: tuple[ids.ModelName, ...] = ()


class EndpointVersions:
    """Writes and follows loads of endpoints and the versions after them.

    They are hints that come before the endpoints' own entries: a process
    that sends work to an endpoint reads the version from its response.
    """

    def __init__(
        self,
        registry: EndpointRegistry,
        store: RowStore,
        loads: LoadingEndpoints,
    ) -> None:
        self._registry = registry
        self._store = store
        self._loads = loads
        self._row_versions: dict[ids.EndpointId, int] = {}

    async def publish(
        self,
        endpoint: Endpoint,
        versions: dict[ids.ModelName, ids.WeightVersion],
        now_s: float,
        *,
        loading: tuple[ids.ModelName, ...] = (),
    ) -> None:
        """Note versions here and tell them to the other processes.

        :param loading: models that the endpoint is being ordered to load.
        """
        record = _Record(
            incarnation=endpoint.agent_incarnation,
            versions=versions,
            loading=loading,
        )
        self._note(endpoint.endpoint_id, record, now_s)
        key = RowKey(TABLE, '', endpoint.endpoint_id)
        known = self._row_versions.get(endpoint.endpoint_id, 0)
        try:
            self._row_versions[
                endpoint.endpoint_id
            ] = await self._store.commit(
                [RowCheck(key, known)],
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
        """Take changed rows."""
        for row in rows:
            endpoint_id = ids.EndpointId(row.key.key)
            self._row_versions[endpoint_id] = row.version
            if row.value is None:
                self._row_versions.pop(endpoint_id)
            record = decode_record(row, _Record)
            if record is not None:
                self._note(endpoint_id, record, now_s)

    def replace(self, rows: Sequence[VersionedRow], now_s: float) -> None:
        """Take all rows."""
        self.apply(rows, now_s)

    def note_contact(self, now_s: float) -> None:
        """Have nothing to do: the rows are hints of any age."""

    def _note(
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
                self._loads.begin(endpoint_id, model, now_s)
            else:
                self._loads.end(endpoint_id, model)
