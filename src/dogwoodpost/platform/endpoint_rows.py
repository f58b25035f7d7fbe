"""Entries of endpoints in the platform's service discovery."""

from __future__ import annotations

import ipaddress
from typing import TYPE_CHECKING

import msgspec
import structlog

from dogwoodpost.core import ids
from dogwoodpost.core.decoding import BoundedInteger
from dogwoodpost.core.decoding import decode_json
from dogwoodpost.core.decoding import parse_integer
from dogwoodpost.core.http_headers import is_header_value
from dogwoodpost.core.routing import Endpoint
from dogwoodpost.errors import MalformedDataError

if TYPE_CHECKING:
    from collections.abc import Mapping
    from collections.abc import Sequence

    from dogwoodpost.core.cold_starts import ColdTracker
    from dogwoodpost.core.membership.endpoint_registry import EndpointRegistry
    from dogwoodpost.ports.row_store import VersionedRow

_log = structlog.get_logger(__name__)
TABLE = 'servers'
_READY = 'ready'
_DRAINING = 'draining'
_MS_PER_S = 1_000
_MAX_PORT = 65_535


class _WireModel(msgspec.Struct, frozen=True, kw_only=True):
    name: str
    version: BoundedInteger


class _WireEntry(msgspec.Struct, frozen=True, kw_only=True, rename='camel'):
    """Entry that an endpoint publishes about itself.

    :param slots: number of requests that the endpoint runs at once.
    :param sequence: counts the endpoint's entries, not the orders that it
        has accepted.
    :param cold_remaining_ms: how long the endpoint stays cold after its start.
    :param born: Unix time of its start in milliseconds; distinguishes
        incarnations with the same id.
    """

    service: str
    address: str
    zone: str
    slots: BoundedInteger
    state: str
    sequence: BoundedInteger
    born: BoundedInteger = 0
    cold_remaining_ms: float = 0.0
    models: tuple[_WireModel, ...] = ()


class EndpointRows:
    """Decodes entries and passes them to the registry.

    An entry replaces an earlier one only if its generation, the pair of
    ``born`` and ``sequence``, is not lower.
    """

    def __init__(
        self,
        registry: EndpointRegistry,
        cold_tracker: ColdTracker,
        region_by_zone: Mapping[str, str],
    ) -> None:
        self._registry = registry
        self._cold_tracker = cold_tracker
        self._region_by_zone = region_by_zone
        self._row_versions: dict[ids.EndpointId, int] = {}
        self._cold_ids: set[ids.EndpointId] = set()
        self._generations: dict[ids.EndpointId, tuple[int, int]] = {}

    def apply(self, rows: Sequence[VersionedRow], now_s: float) -> None:
        """Apply entries that have changed."""
        for row in rows:
            endpoint_id = ids.EndpointId(row.key.key)
            if row.version <= self._row_versions.get(endpoint_id, 0):
                continue
            self._row_versions[endpoint_id] = row.version
            self._apply_row(endpoint_id, row.value, now_s)

    def replace(self, rows: Sequence[VersionedRow], now_s: float) -> None:
        """Apply the list of all entries; remove endpoints not on it."""
        self.apply(rows, now_s)
        listed = frozenset(ids.EndpointId(row.key.key) for row in rows)
        self._registry.remove_all_except(listed, now_s)

    def note_contact(self, now_s: float, as_of_s: float) -> None:
        """Note that the entries are up to date."""
        self._registry.note_contact(now_s)
        self._cold_tracker.note_read(now_s)

    def _apply_row(
        self, endpoint_id: ids.EndpointId, value: bytes | None, now_s: float
    ) -> None:
        if value is None:
            # Without ``born``, entries of a restarted endpoint would look old.
            if self._generations.get(endpoint_id, (0, 0))[0] == 0:
                self._generations.pop(endpoint_id, None)
            self._log_removal(endpoint_id)
            self._registry.remove(endpoint_id, now_s)
            if self._registry.get(endpoint_id) is None:
                self._cold_tracker.forget(endpoint_id)
                self._cold_ids.discard(endpoint_id)
            return
        try:
            entry = decode_json(value, _WireEntry)
        except MalformedDataError as error:
            self._reject(endpoint_id, str(error), now_s)
            return
        finding = _finding(endpoint_id, entry)
        if finding is not None:
            self._reject(endpoint_id, finding, now_s)
            return
        generation = (entry.born, entry.sequence)
        if generation < self._generations.get(endpoint_id, (0, 0)):
            _log.info(
                'old_entry_ignored', endpoint=endpoint_id, age=generation
            )
            return
        self._generations[endpoint_id] = generation
        self._cold_tracker.note_entry(
            endpoint_id, entry.cold_remaining_ms / _MS_PER_S, now_s
        )
        self._upsert(endpoint_id, entry, now_s)

    def _upsert(
        self, endpoint_id: ids.EndpointId, entry: _WireEntry, now_s: float
    ) -> None:
        endpoint = Endpoint(
            endpoint_id=endpoint_id,
            service=ids.ServiceName(entry.service),
            availability_zone=ids.AvailabilityZone(entry.zone),
            region=ids.Region(self._region_by_zone.get(entry.zone, '')),
            agent_incarnation=ids.Incarnation(str(entry.born)),
            address=entry.address,
            capacity_count=max(entry.slots, 0),
            weight_versions={
                ids.ModelName(model.name): ids.WeightVersion(model.version)
                for model in entry.models
            },
            draining=entry.state == _DRAINING,
        )
        registered = self._registry.get(endpoint_id)
        is_cold = entry.cold_remaining_ms > 0
        was_cold = endpoint_id in self._cold_ids
        if is_cold:
            self._cold_ids.add(endpoint_id)
        else:
            self._cold_ids.discard(endpoint_id)
        if (
            registered is None
            or registered.draining != endpoint.draining
            or is_cold != was_cold
        ):
            _log.info(
                'endpoint_entry',
                endpoint=endpoint_id,
                service=entry.service,
                address=entry.address,
                availability_zone=entry.zone,
                draining=endpoint.draining,
                sequence=entry.sequence,
                cold_remaining_ms=entry.cold_remaining_ms,
                incarnation=entry.born,
            )
        self._registry.upsert(endpoint, now_s)

    def _reject(
        self, endpoint_id: ids.EndpointId, reason: str, now_s: float
    ) -> None:
        _log.warning(
            'endpoint_entry_unusable', endpoint=endpoint_id, reason=reason
        )
        self._registry.remove(endpoint_id, now_s)

    def _log_removal(self, endpoint_id: ids.EndpointId) -> None:
        if self._registry.get(endpoint_id) is not None:
            _log.info('endpoint_entry_removed', endpoint=endpoint_id)


def _finding(endpoint_id: ids.EndpointId, entry: _WireEntry) -> str | None:
    """Return why no call can be made with an entry, None if calls can be."""
    if entry.state not in {_READY, _DRAINING}:
        return 'its state is unknown'
    if not is_header_value(endpoint_id):
        return 'the id is no valid header value'
    if not _is_socket_address(entry.address):
        return 'its address is not IPv4 with a port'
    return None


def _is_socket_address(address: str) -> bool:
    """Return whether an address is an IPv4 address and a port above 0."""
    host, _, port = address.rpartition(':')
    try:
        ipaddress.IPv4Address(host)
        return 0 < parse_integer(port) <= _MAX_PORT
    except (ValueError, MalformedDataError):
        return False
