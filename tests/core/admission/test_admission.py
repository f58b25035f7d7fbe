"""Tests of limits and fair queueing."""

from __future__ import annotations

import hypothesis
import pytest
from hypothesis import stateful
from hypothesis import strategies as st

from dogwoodpost.core.admission import Admission
from dogwoodpost.core.admission import AdmissionSettings
from dogwoodpost.core.admission import Ticket
from dogwoodpost.core.admission import TicketState
from dogwoodpost.core.configuration import Limits
from dogwoodpost.core.messages import Consumption
from dogwoodpost.errors import RequestError

ACCOUNTS = ('a', 'b', 'c')
WEIGHTS = {'a': 1.0, 'b': 1.0, 'c': 3.0}
SERVICE = 's'


def ticket(account: str, tokens: float = 10.0, **fields: object) -> Ticket:
    values: dict[str, object] = {
        'request_id': 'r',
        'client_account_id': account,
        'service': SERVICE,
        'estimated_tokens': tokens,
        'deadline_s': 1e9,
        'enqueued_s': 0.0,
    }
    return Ticket(**{**values, **fields})


def first_startable(admission: Admission, now_s: float = 0.0) -> Ticket | None:
    tickets = admission.startable_tickets(
        SERVICE, now_s, max_count=1, max_per_account=1
    )
    return tickets[0] if tickets else None


def limits(**fields: object) -> Limits:
    return Limits(**{'token_rate_per_s': 1e9, **fields})


def test_large_account_cannot_starve_a_small_one() -> None:
    """Guards against a backlog that delays another account's request."""
    admission = Admission()
    for account in ('large', 'small'):
        admission.set_limits(account, limits(), 0.0)
    for _ in range(200):
        admission.submit(ticket('large'), 0.0)
    for _ in range(100):
        admission.start(first_startable(admission), 0.0)
        if admission.running_count('large') > 60:
            break
    late_request = ticket('small')
    admission.submit(late_request, 0.0)
    assert first_startable(admission) is late_request


def test_urgent_requests_go_first_and_share_fairly() -> None:
    """Guards against urgent requests behind others, or out of turn."""
    admission = Admission()
    for account in ('large', 'small'):
        admission.set_limits(account, limits(), 0.0)
    for account in ('large', 'small', 'large'):
        admission.submit(ticket(account, priority=-1), 0.0)
    for account in ('large', 'large', 'small'):
        admission.submit(ticket(account, priority=2), 0.0)
    assert admission.ahead_count(SERVICE, 0) == 3
    started = []
    while (request := first_startable(admission)) is not None:
        admission.start(request, 0.0)
        started.append((request.priority, request.client_account_id))
    assert [priority for priority, _ in started] == [2, 2, 2, -1, -1, -1]
    assert {account for _, account in started[:2]} == {'large', 'small'}
    assert {account for _, account in started[3:5]} == {'large', 'small'}


def test_urgent_requests_do_not_starve_others() -> None:
    """Guards against requests that never start while urgent ones come."""
    admission = Admission()
    for account in ('urgent', 'other'):
        admission.set_limits(account, limits(), 0.0)
    for number in range(200):
        admission.submit(ticket('urgent', priority=1, enqueued_s=number), 0.0)
    for number in range(10):
        admission.submit(ticket('urgent', enqueued_s=number), 0.0)
        admission.submit(ticket('other', enqueued_s=number), 0.0)
    started = []
    for number in range(150):
        now_s = 200.0 + number
        request = first_startable(admission, now_s)
        admission.start(request, now_s)
        started.append((request.priority, request.client_account_id))
        admission.finish(request, 10.0, now_s)
    assert started.count((0, 'other')) == 10
    assert started.count((0, 'urgent')) == 10
    assert started[:3] == [(1, 'urgent')] * 3


def test_urgent_request_is_not_refused_for_those_behind_it() -> None:
    """Guards against an expected wait that counts overtaken requests."""
    admission = Admission()
    admission.set_limits('a', limits(), 0.0)
    requests = [ticket('a', 100.0, priority=-1) for _ in range(100)]
    for request in requests:
        admission.submit(request, 0.0)
    for number, request in enumerate(requests[:10]):
        admission.start(request, float(number))
        admission.finish(request, 100.0, float(number) + 1.0)
    with pytest.raises(RequestError):
        admission.submit(
            ticket('a', 100.0, priority=-1, deadline_s=30.0), 10.0
        )
    admission.submit(ticket('a', 100.0, deadline_s=30.0), 10.0)


def test_actual_cost_corrects_the_share() -> None:
    """Guards against accounts that gain an advantage by low estimates."""
    admission = Admission()
    for account in ('honest', 'low'):
        admission.set_limits(account, limits(), 0.0)
    served = dict.fromkeys(('honest', 'low'), 0.0)
    actual = {'honest': 10.0, 'low': 100.0}
    for account in served:
        for _ in range(200):
            admission.submit(ticket(account), 0.0)
    for step in range(110):
        request = first_startable(admission, float(step))
        admission.start(request, float(step))
        account = request.client_account_id
        admission.finish(request, actual[account], float(step))
        served[account] += actual[account]
    assert served['low'] == pytest.approx(served['honest'], abs=200.0)


def test_consumption_at_other_entries_counts() -> None:
    """Guards against an account that multiplies its share.

    It would do so by using several entries, if each counted only its own use.
    """
    admission, other = Admission(), Admission()
    for account in ('many', 'one'):
        admission.set_limits(account, limits(), 0.0)
    for _ in range(3):
        remote_request = ticket('many')
        other.submit(remote_request, 0.0)
        other.start(remote_request, 0.0)
        other.finish(remote_request, 40.0, 0.0)
    shared = other.pop_consumption()
    assert shared == (Consumption(SERVICE, 'many', 120.0),)
    assert other.pop_consumption() == ()
    admission.apply_remote_consumption(shared)
    for account in ('many', 'one'):
        for _ in range(20):
            admission.submit(ticket(account), 0.0)
    order = []
    for _ in range(12):
        request = first_startable(admission)
        admission.start(request, 0.0)
        order.append(request.client_account_id)
    assert order == ['one'] * 12


def test_remote_consumption_limits_lag_of_new_account() -> None:
    """Guards against a new account that starves one used at other entries.

    Without a limit of the lag, the new account would go first until it had
    caught up with all that the other has used at other entries.
    """
    admission = Admission()
    for account, weight in (('old', 1.0), ('new', 1.0), ('none', 0.0)):
        admission.set_limits(account, limits(weight=weight), 0.0)
    for _ in range(100):
        admission.apply_remote_consumption([Consumption(SERVICE, 'old', 1e5)])
    for account in ('old', 'new', 'none'):
        for _ in range(30):
            admission.submit(ticket(account, 5_000.0), 0.0)
    order = []
    for _ in range(24):
        request = first_startable(admission)
        admission.start(request, 0.0)
        order.append(request.client_account_id)
    assert order.index('old') <= 12
    assert order.count('none') == 1


REFUSALS = [
    # limits, waiting, deadline, code, status, retry after
    (limits(max_queued_count=2), 2, 1e9, 'account_queue_full', 429, 1.0),
    (limits(max_queued_count=9), 5, 1e9, 'queue_full', 503, 1.0),
    (
        Limits(token_rate_per_s=1.0, token_burst_tokens=0),
        0,
        5.0,
        'token_rate',
        429,
        10.0,
    ),
]


@pytest.mark.parametrize(
    ('account_limits', 'waiting', 'deadline_s', 'code', 'status', 'after_s'),
    REFUSALS,
)
def test_refusals(
    account_limits: Limits,
    waiting: int,
    deadline_s: float,
    code: str,
    status: int,
    after_s: float,
) -> None:
    """Guards against unbounded queues and refusals without a reason."""
    admission = Admission(AdmissionSettings(max_waiting_count=5))
    admission.set_limits('a', account_limits, 0.0)
    if code == 'token_rate':
        running_request = ticket('a')
        admission.submit(running_request, 0.0)
        admission.start(running_request, 0.0)
    for _ in range(waiting):
        admission.submit(ticket('a'), 0.0)
    with pytest.raises(RequestError) as caught:
        admission.submit(ticket('a', deadline_s=deadline_s), 0.0)
    error = caught.value
    assert (error.code, error.status, error.not_run) == (code, status, True)
    assert error.retry_after_s == pytest.approx(after_s)


def test_early_refusal_returns_the_excess_wait() -> None:
    """Guards against queueing a request that would expire.

    It is refused on arrival, with the excess of its expected wait as
    Retry-After.
    """
    admission = Admission()
    admission.set_limits('a', limits(max_queued_count=1_000), 0.0)
    for _ in range(500):
        admission.submit(ticket('a'), 0.0)
    for step in range(1, 41):
        request = first_startable(admission, step / 10)
        admission.start(request, step / 10)
        admission.finish(request, 10.0, step / 10)
    # 46 s of work are left, at a drain rate of 100 tokens per second.
    assert admission.expected_wait_s('a', SERVICE, 4.0) == pytest.approx(
        46.0, rel=0.05
    )
    with pytest.raises(RequestError) as caught:
        admission.submit(ticket('a', deadline_s=44.0), 4.0)
    assert caught.value.code == 'wait_exceeds_deadline'
    assert caught.value.retry_after_s == pytest.approx(26.0, rel=0.1)
    admission.submit(ticket('b', deadline_s=44.0), 4.0)


def test_token_rate_holds_on_average() -> None:
    """Guards against bypassing the rate limit by bursts or large requests."""
    admission = Admission()
    account_limits = Limits(token_rate_per_s=10.0, token_burst_tokens=50)
    admission.set_limits('a', account_limits, 0.0)
    started_tokens = 0.0
    for step in range(1_000):
        now_s = step / 10
        if admission.waiting_count(SERVICE) < 5:
            admission.submit(ticket('a', 30.0, enqueued_s=now_s), now_s)
        request = first_startable(admission, now_s)
        if request is not None:
            admission.start(request, now_s)
            admission.finish(request, 30.0, now_s)
            started_tokens += 30.0
    assert started_tokens <= 50 + 10.0 * 100 + 30.0
    assert started_tokens >= 10.0 * 100


class FairQueueMachine(stateful.RuleBasedStateMachine):
    """Compares admission with a simple model and a bound on unfairness."""

    def __init__(self) -> None:
        super().__init__()
        self.now_s = 0.0
        self.admission = Admission()
        self.waiting: dict[str, list[Ticket]] = {}
        self.running: list[Ticket] = []
        self.served: dict[str, float] = {}
        for account in ACCOUNTS:
            self.waiting[account] = []
            self.served[account] = 0.0
            self.admission.set_limits(
                account,
                limits(
                    max_concurrency=3,
                    max_queued_count=6,
                    weight=WEIGHTS[account],
                ),
                0.0,
            )
        self.base = dict(self.served)

    def restart_comparison(self) -> None:
        self.base = dict(self.served)

    @stateful.rule(
        account=st.sampled_from(ACCOUNTS), tokens=st.integers(1, 100)
    )
    def submit(self, account: str, tokens: int) -> None:
        request = ticket(account, float(tokens), deadline_s=self.now_s + 50.0)
        full = len(self.waiting[account]) >= 6
        if not self.waiting[account]:
            self.restart_comparison()
        try:
            self.admission.submit(request, self.now_s)
        except RequestError as error:
            assert full or error.code == 'wait_exceeds_deadline'
            assert error.not_run
            return
        assert not full
        self.waiting[account].append(request)

    @stateful.rule()
    def start(self) -> None:
        request = first_startable(self.admission, self.now_s)
        blocked = [
            account
            for account in ACCOUNTS
            if sum(r.client_account_id == account for r in self.running) >= 3
        ]
        ready = [a for a in ACCOUNTS if self.waiting[a] and a not in blocked]
        if blocked:
            self.restart_comparison()
        if request is None:
            assert not ready
            return
        account = request.client_account_id
        assert account in ready
        assert request is self.waiting[account].pop(0)
        self.admission.start(request, self.now_s)
        self.running.append(request)
        self.served[account] += request.cost_tokens / WEIGHTS[account]
        if not self.waiting[account]:
            self.restart_comparison()

    @stateful.precondition(lambda self: self.running)
    @stateful.rule(data=st.data())
    def finish(self, data: st.DataObject) -> None:
        request = data.draw(st.sampled_from(self.running))
        self.running.remove(request)
        self.admission.finish(request, request.cost_tokens, self.now_s)

    @stateful.precondition(lambda self: any(self.waiting.values()))
    @stateful.rule(data=st.data())
    def withdraw(self, data: st.DataObject) -> None:
        all_waiting = [
            request for queue in self.waiting.values() for request in queue
        ]
        request = data.draw(st.sampled_from(all_waiting))
        self.waiting[request.client_account_id].remove(request)
        self.admission.withdraw(request, self.now_s)
        self.restart_comparison()

    @stateful.rule(step_s=st.floats(0.0, 20.0))
    def expire(self, step_s: float) -> None:
        self.now_s += step_s
        expired = self.admission.expire(SERVICE, self.now_s)
        for queue in self.waiting.values():
            late = [
                request
                for request in queue
                if request.deadline_s <= self.now_s
            ]
            for request in late:
                assert request in expired
                queue.remove(request)
        if expired:
            self.restart_comparison()

    @stateful.invariant()
    def counts_match(self) -> None:
        count = sum(len(queue) for queue in self.waiting.values())
        assert self.admission.waiting_count(SERVICE) == count
        for account in ACCOUNTS:
            running = [
                request
                for request in self.running
                if request.client_account_id == account
            ]
            assert self.admission.running_count(account) == len(running)
            assert len(running) <= 3
        assert all(
            request.state is TicketState.RUNNING for request in self.running
        )

    @stateful.invariant()
    def backlogged_accounts_are_served_alike(self) -> None:
        """While all accounts wait, their weighted service stays alike.

        Each of two accounts may deviate by the cost of one request at most.
        """
        gains = [self.served[a] - self.base[a] for a in ACCOUNTS]
        if all(self.waiting.values()):
            assert max(gains) - min(gains) <= 2 * 100.0


FairQueueMachine.TestCase.settings = hypothesis.settings(
    stateful_step_count=50
)
TestFairQueue = FairQueueMachine.TestCase


@pytest.mark.fuzz
def test_fair_queue_in_long_sequences() -> None:
    """Guards against faults that only long sequences of calls show."""
    stateful.run_state_machine_as_test(
        FairQueueMachine,
        settings=hypothesis.settings(
            max_examples=500, stateful_step_count=200, deadline=None
        ),
    )
