"""State machine of processes that send to one cold endpoint."""

from __future__ import annotations

import pytest
from hypothesis import strategies as st
from hypothesis.stateful import initialize
from hypothesis.stateful import invariant
from hypothesis.stateful import rule
from hypothesis.stateful import RuleBasedStateMachine

from dogwoodpost.core import ids
from dogwoodpost.core.cold_starts import ColdStartLimiter
from dogwoodpost.core.cold_starts import ColdTracker
from dogwoodpost.core.configuration import ColdStart
from dogwoodpost.core.membership.announced_senders import AnnouncedSenders
from dogwoodpost.core.membership.presence import PresenceRecord
from dogwoodpost.core.membership.presence import PresenceTracker
from dogwoodpost.core.routing import Endpoint

SERVICE = ids.ServiceName('slate-lm')
ENDPOINT = Endpoint(
    endpoint_id=ids.EndpointId('e'),
    service=SERVICE,
    availability_zone=ids.AvailabilityZone('a'),
    region=ids.Region('r'),
)
TERMS = ColdStart(duration_s=3.0, rate_per_s=8.0)
OVERAGE = 1.5
ALLOWANCE = 12
# The bound of the users is 5 above this.
BOUND = ALLOWANCE
PROCESS_COUNT = 5
STEP_S = 0.1
HEARTBEAT_S = 0.8
TIMEOUT_S = 2.6
MAX_GAP_S = 2.2
numbers = st.integers(0, PROCESS_COUNT - 1)


class Store:
    """Heartbeat rows, each with its version."""

    def __init__(self) -> None:
        self.rows: dict[ids.ProcessId, tuple[PresenceRecord, int]] = {}
        self._version = 0

    def write(self, process_id: ids.ProcessId, record: PresenceRecord) -> None:
        self._version += 1
        self.rows[process_id] = (record, self._version)


class Process:
    """A process with its own view of the rows.

    :param lag_s: time from an answer of the store until it is applied.
    """

    def __init__(self, number: int, run: int, lag_s: float) -> None:
        self.process_id = ids.ProcessId(f'p{number}')
        self.lag_s = lag_s
        self.is_cut = False
        self._is_leaving = False
        self._incarnation = ids.Incarnation(f'{number}-{run}')
        self._view = PresenceTracker(TIMEOUT_S, MAX_GAP_S)
        self._senders = AnnouncedSenders(self.process_id, self._view)
        self._next_heartbeat_s = 0.0
        self._sequence = 0
        self._answers: list[
            tuple[float, dict[ids.ProcessId, tuple[PresenceRecord, int]]]
        ] = []
        tracker = ColdTracker()
        tracker.note_entry(ENDPOINT.endpoint_id, 1e9, 0.0)
        self._limiter = ColdStartLimiter(
            self.process_id,
            tracker,
            self._senders,
            lambda _service: TERMS,
            overage=OVERAGE,
        )

    def leave(self) -> None:
        """Begin a planned stop."""
        self._is_leaving = True
        self._senders.stop()

    def step(self, store: Store, now_s: float) -> int:
        """Act once; return how many requests were sent."""
        self._limiter.note_need(SERVICE, now_s)
        if not self.is_cut:
            self._answers.append((now_s + self.lag_s, dict(store.rows)))
            if now_s >= self._next_heartbeat_s:
                self._write_heartbeat(store, now_s)
        while self._answers and self._answers[0][0] <= now_s:
            self._apply(self._answers.pop(0)[1], now_s)
        count = 0
        while self._limiter.may_send(ENDPOINT, now_s):
            self._limiter.record_send(ENDPOINT, now_s)
            count += 1
        return count

    def _write_heartbeat(self, store: Store, now_s: float) -> None:
        self._next_heartbeat_s = now_s + HEARTBEAT_S
        self._sequence += 1
        services = (
            () if self._is_leaving else self._limiter.needed_services(now_s)
        )
        self._senders.begin_heartbeat(services)
        record = PresenceRecord(
            incarnation=self._incarnation,
            sequence=self._sequence,
            sender_services=services,
            leaving=self._is_leaving,
        )
        store.write(self.process_id, record)
        self._senders.note_heartbeat(services, now_s, now_s)

    def _apply(
        self,
        rows: dict[ids.ProcessId, tuple[PresenceRecord, int]],
        now_s: float,
    ) -> None:
        for process_id, (record, version) in rows.items():
            self._view.observe(process_id, record, version, now_s)
        self._view.note_contact(now_s)


class ColdEndpointMachine(RuleBasedStateMachine):
    """Processes start, stop, freeze and lose the store in any order.

    All of them want to send as much as they may.
    """

    @initialize()
    def start_all(self) -> None:
        self.now_s = 0.0
        self.store = Store()
        self.run_count = 0
        self.processes: dict[int, Process] = {}
        self.frozen: set[int] = set()
        self.sent_s: list[float] = []
        for number in range(PROCESS_COUNT):
            self._start(number, 0.0)

    def _start(self, number: int, lag_s: float) -> None:
        self.run_count += 1
        self.processes[number] = Process(number, self.run_count, lag_s)

    @rule(steps=st.integers(1, 40))
    def pass_time(self, steps: int) -> None:
        for _ in range(steps):
            self.now_s += STEP_S
            for number, process in sorted(self.processes.items()):
                if number not in self.frozen:
                    count = process.step(self.store, self.now_s)
                    self.sent_s += [self.now_s] * count
                    self._check_last_second()

    @rule(number=numbers, lag_s=st.sampled_from([0.0, 0.3, 0.7]))
    def restart(self, number: int, lag_s: float) -> None:
        self._start(number, lag_s)
        self.frozen.discard(number)

    @rule()
    def restart_all(self) -> None:
        for number in range(PROCESS_COUNT):
            self.restart(number, 0.3)

    @rule(number=numbers)
    def kill(self, number: int) -> None:
        self.processes.pop(number, None)

    @rule(number=numbers)
    def leave(self, number: int) -> None:
        process = self.processes.get(number)
        if process is not None:
            process.leave()

    @rule(number=numbers)
    def freeze(self, number: int) -> None:
        self.frozen.add(number)

    @rule(number=numbers)
    def thaw(self, number: int) -> None:
        self.frozen.discard(number)

    @rule(number=numbers, is_cut=st.booleans())
    def cut_from_store(self, number: int, is_cut: bool) -> None:
        process = self.processes.get(number)
        if process is not None:
            process.is_cut = is_cut

    def _check_last_second(self) -> None:
        recent = [sent_s for sent_s in self.sent_s if self._is_recent(sent_s)]
        self.sent_s = recent
        assert len(recent) <= BOUND

    def _is_recent(self, sent_s: float) -> bool:
        return self.now_s - sent_s < 1.0 - STEP_S / 2

    @invariant()
    def last_second_is_within_the_bound(self) -> None:
        if hasattr(self, 'sent_s'):
            self._check_last_second()

    def teardown(self) -> None:
        """Check that the allowance is used once the processes are calm."""
        if not hasattr(self, 'processes'):
            return
        self.frozen.clear()
        for number in range(PROCESS_COUNT):
            self._start(number, 0.3)
        self.pass_time(60)
        assert len(self.sent_s) >= ALLOWANCE // PROCESS_COUNT * PROCESS_COUNT


TestColdEndpoint = ColdEndpointMachine.TestCase


@pytest.mark.fuzz
class TestColdEndpointForLong(ColdEndpointMachine.TestCase):
    """The same for longer."""
