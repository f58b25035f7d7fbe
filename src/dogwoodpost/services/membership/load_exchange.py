"""Exchanges loads and demands with other processes that own batch jobs."""

from __future__ import annotations

import asyncio
from contextlib import contextmanager
from enum import Enum
from typing import TYPE_CHECKING

import mode
import structlog

from dogwoodpost.core.decoding import decode_msgpack
from dogwoodpost.core.membership.exchange_schedule import ExchangeSchedule
from dogwoodpost.core.membership.peer_states import PeerState
from dogwoodpost.core.membership.state_encoding import encode_state
from dogwoodpost.core.membership.state_encoding import MAX_DATAGRAM_BYTES
from dogwoodpost.errors import MalformedDataError
from dogwoodpost.errors import TransportError

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterator

    from dogwoodpost.core import ids
    from dogwoodpost.core.membership import ProcessIdentity
    from dogwoodpost.core.membership.peer_states import ItemDemand
    from dogwoodpost.core.membership.peer_states import PeerStates
    from dogwoodpost.core.policy import LoadExchangePolicy
    from dogwoodpost.core.policy import PolicyHolder
    from dogwoodpost.core.routing import Router
    from dogwoodpost.observability import Metrics
    from dogwoodpost.ports.clock import Clock
    from dogwoodpost.ports.datagram_channel import DatagramChannel
    from dogwoodpost.ports.datagram_channel import DatagramNetwork
    from dogwoodpost.services.membership.presence_service import (
        PresenceService,
    )

_log = structlog.get_logger(__name__)
# How soon a changed policy takes effect, and how soon items that wait are
# noticed in a process without running items.
_POLICY_CHECK_INTERVAL_S = 0.5
_IDLE_CHECK_INTERVAL_S = 0.2
# A port that another process uses may become free.
_BIND_RETRY_INTERVAL_S = 5.0


class DropReason(Enum):
    """Why a datagram was dropped; values are parts of counter names."""

    TOO_LARGE = 'too_large'
    MALFORMED = 'malformed'
    UNKNOWN_PROCESS = 'unknown_process'
    OTHER_INCARNATION = 'other_incarnation'
    OUTDATED = 'outdated'
    NOT_SENT = 'not_sent'


class LoadExchange(mode.Service):
    """Sends the own state, and keeps those of other processes.

    The state is soft: while the policy is off, and while the address can't be
    bound, the loads of the heartbeat rows are used.

    :param states: filled while the policy is on, empty otherwise.
    :param network: None if this process has no address for datagrams.
    :param owns_items: returns whether any batch item waits or runs here.
    :param own_demands: returns the demands of the own items.
    """

    def __init__(
        self,
        identity: ProcessIdentity,
        states: PeerStates,
        presence: PresenceService,
        router: Router,
        network: DatagramNetwork | None,
        policy: PolicyHolder,
        clock: Clock,
        metrics: Metrics,
        *,
        owns_items: Callable[[], bool],
        own_demands: Callable[
            [float], tuple[ItemDemand, ...]
        ] = lambda _now_s: (),
    ) -> None:
        super().__init__()
        self._states = states
        self._identity = identity
        self._presence = presence
        self._router = router
        self._network = network
        self._policy = policy
        self._clock = clock
        self._metrics = metrics
        self._owns_items = owns_items
        self._own_demands = own_demands
        self._schedule = ExchangeSchedule()
        self._sequence = 0
        self._used_ids: set[ids.ProcessId] = set()
        self._load_changed = asyncio.Event()

    @mode.Service.task
    async def _run(self) -> None:
        while not self.should_stop:
            if not self._settings().enabled:
                await self.sleep(_POLICY_CHECK_INTERVAL_S)
                continue
            try:
                await self._exchange_while_enabled()
            except TransportError as error:
                _log.warning('load_exchange_unavailable', error=str(error))
                if self._network is None:
                    return
                await self.sleep(_BIND_RETRY_INTERVAL_S)

    def _settings(self) -> LoadExchangePolicy:
        return self._policy.current().load_exchange

    async def _exchange_while_enabled(self) -> None:
        """Exchange states until the policy is switched off.

        :raises TransportError: the address can't be bound, or there is none.
        """
        if self._network is None:
            raise TransportError('the process has no address for datagrams')
        async with self._network.open(self._receive) as channel:
            with self._used(channel):
                while self._settings().enabled:
                    await self._step(channel)

    @contextmanager
    def _used(self, channel: DatagramChannel) -> Iterator[None]:
        """Announce the channel and use the received states."""
        presence = self._presence
        self._schedule = ExchangeSchedule()
        presence.load_reports.use(self._states)
        presence.owns_items = self._owns_items
        presence.datagram_address = channel.address
        self._router.listen_to_own_loads(self._on_own_load_change)
        _log.info('load_exchange_started', address=channel.address)
        try:
            yield
        finally:
            self._router.listen_to_own_loads(None)
            presence.datagram_address = ''
            self._states.clear()
            self._used_ids.clear()
            presence.load_reports.use(None)
            presence.load_reports.report_rows(self._clock.monotonic_s())
            _log.info('load_exchange_stopped')

    async def _step(self, channel: DatagramChannel) -> None:
        """Send the state if it is due, and wait until it may be again."""
        now_s = self._clock.monotonic_s()
        self._note_stale_states(now_s)
        owns_items = self._owns_items()
        if not owns_items and not self._schedule.is_end_unsent:
            await self._wait_for_change(_IDLE_CHECK_INTERVAL_S)
            return
        receivers = self._schedule.receivers(
            self._presence.live_peers(), now_s
        )
        interval_s = self._schedule.interval_s(
            self._settings().interval_ms, len(receivers)
        )
        wait_s = self._schedule.earliest_s(interval_s) - now_s
        if wait_s > 0.0:
            await asyncio.sleep(min(wait_s, _IDLE_CHECK_INTERVAL_S))
            return
        # Changes from here on are in the next message.
        self._load_changed.clear()
        loads = self._own_engine_loads()
        demands = self._own_demands(now_s)
        if not owns_items or self._schedule.is_due(
            receivers, loads, demands, now_s
        ):
            if receivers:
                self._send(channel, receivers, loads, demands)
            self._schedule.note_sent(
                receivers, loads, demands, now_s, owns_items=owns_items
            )
        await self._wait_for_change(interval_s)

    def _send(
        self,
        channel: DatagramChannel,
        receivers: list[str],
        loads: dict[ids.EndpointId, int],
        demands: tuple[ItemDemand, ...],
    ) -> None:
        self._sequence += 1
        state = PeerState(
            process_id=self._identity.process_id,
            incarnation=self._identity.incarnation,
            sequence=self._sequence,
            heartbeat_sequence=self._presence.heartbeat_sequence,
            loads=loads,
            demands=demands,
        )
        data = encode_state(state)
        sent_count = sum(channel.send(address, data) for address in receivers)
        self._count('sent', sent_count)
        if sent_count < len(receivers):
            self._note_dropped(
                DropReason.NOT_SENT, len(receivers) - sent_count
            )

    def _own_engine_loads(self) -> dict[ids.EndpointId, int]:
        """Return the own loads of engines, which receivers use."""
        return {
            endpoint_id: count
            for endpoint_id, count in self._router.own_loads().items()
            if self._router.is_engine(endpoint_id)
        }

    def _on_own_load_change(self, endpoint_id: ids.EndpointId) -> None:
        if not self._load_changed.is_set() and self._router.is_engine(
            endpoint_id
        ):
            self._load_changed.set()

    async def _wait_for_change(self, timeout_s: float) -> None:
        """Wait for a change of the own loads, at most for the timeout."""
        timer = asyncio.get_running_loop().call_later(
            timeout_s, self._load_changed.set
        )
        try:
            await self._load_changed.wait()
        finally:
            timer.cancel()
        self._load_changed.clear()

    def _receive(self, data: bytes) -> None:
        now_s = self._clock.monotonic_s()
        reason = self._record(data, now_s)
        if reason is None:
            self._count('received')
        else:
            self._note_dropped(reason)

    def _record(self, data: bytes, now_s: float) -> DropReason | None:
        """Record a datagram; return why it is dropped, or None."""
        if len(data) > MAX_DATAGRAM_BYTES:
            return DropReason.TOO_LARGE
        try:
            state = decode_msgpack(data, PeerState)
        except MalformedDataError:
            return DropReason.MALFORMED
        process_id = state.process_id
        row = self._presence.view.last_record(process_id)
        if row is None or process_id == self._identity.process_id:
            return DropReason.UNKNOWN_PROCESS
        if row.incarnation != state.incarnation:
            return DropReason.OTHER_INCARNATION
        if not self._states.record(state, row, now_s):
            return DropReason.OUTDATED
        self._schedule.note_owner(process_id, now_s)
        if process_id not in self._used_ids:
            self._used_ids.add(process_id)
            _log.info('peer_loads_current', process_id=process_id)
        self._presence.load_reports.report_process(process_id, now_s)
        return None

    def _note_stale_states(self, now_s: float) -> None:
        """Use the heartbeat rows of processes whose states are too old."""
        stale_ids = self._used_ids - self._states.current_ids(now_s)
        for process_id in stale_ids:
            self._states.forget(process_id)
            self._used_ids.discard(process_id)
            _log.info('peer_loads_stale', process_id=process_id)
            self._presence.load_reports.report_process(process_id, now_s)

    def _note_dropped(self, reason: DropReason, count: int = 1) -> None:
        self._count(f'dropped_{reason.value}', count)

    def _count(self, name: str, count: int = 1) -> None:
        self._metrics.events.labels(f'load_exchange_{name}').inc(count)
