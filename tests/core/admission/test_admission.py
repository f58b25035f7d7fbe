"""Limits and fair queueing."""

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


def first(admission: Admission, now_s: float = 0.0) -> Ticket | None:
    heads = admission.heads(SERVICE, now_s, count=1, depth=1)
    return heads[0] if heads else None


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
        admission.start(first(admission), 0.0)
        if admission.running_count('large') > 60:
            break
    late = ticket('small')
    admission.submit(late, 0.0)
    assert first(admission) is late


def test_actual_cost_corrects_the_share() -> None:
    """Guards against accounts that gain by low estimates."""
    admission = Admission()
    for account in ('honest', 'low'):
        admission.set_limits(account, limits(), 0.0)
    served = dict.fromkeys(('honest', 'low'), 0.0)
    actual = {'honest': 10.0, 'low': 100.0}
    for account in served:
        for _ in range(200):
            admission.submit(ticket(account), 0.0)
    for step in range(110):
        one = first(admission, float(step))
        admission.start(one, float(step))
        account = one.client_account_id
        admission.finish(one, actual[account], float(step))
        served[account] += actual[account]
    assert served['low'] == pytest.approx(served['honest'], abs=200.0)


def test_consumption_elsewhere_counts() -> None:
    """Guards against an account that multiplies its share by entries."""
    admission, other = Admission(), Admission()
    for account in ('many', 'one'):
        admission.set_limits(account, limits(), 0.0)
    for _ in range(3):
        used = ticket('many')
        other.submit(used, 0.0)
        other.start(used, 0.0)
        other.finish(used, 40.0, 0.0)
    shared = other.pop_consumption()
    assert shared == (Consumption(SERVICE, 'many', 120.0),)
    assert other.pop_consumption() == ()
    admission.apply_remote_consumption(shared)
    for account in ('many', 'one'):
        for _ in range(20):
            admission.submit(ticket(account), 0.0)
    order = []
    for _ in range(12):
        one = first(admission)
        admission.start(one, 0.0)
        order.append(one.client_account_id)
    assert order == ['one'] * 12


def test_return_after_use_elsewhere_gives_no_endless_claim() -> None:
    """Guards against a new account that starves those known from elsewhere."""
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
        one = first(admission)
        admission.start(one, 0.0)
        order.append(one.client_account_id)
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
    """Guards against queues without bounds and refusals without a reason."""
    admission = Admission(AdmissionSettings(max_waiting_count=5))
    admission.set_limits('a', account_limits, 0.0)
    if code == 'token_rate':
        used = ticket('a')
        admission.submit(used, 0.0)
        admission.start(used, 0.0)
    for _ in range(waiting):
        admission.submit(ticket('a'), 0.0)
    with pytest.raises(RequestError) as caught:
        admission.submit(ticket('a', deadline_s=deadline_s), 0.0)
    error = caught.value
    assert (error.code, error.status, error.not_run) == (code, status, True)
    assert error.retry_after_s == pytest.approx(after_s)


def test_early_refusal_gives_the_time_that_is_missing() -> None:
    """Guards against waits that end in an expiry instead of a refusal."""
    admission = Admission()
    admission.set_limits('a', limits(max_queued_count=1_000), 0.0)
    for _ in range(500):
        admission.submit(ticket('a'), 0.0)
    for step in range(1, 41):
        one = first(admission, step / 10)
        admission.start(one, step / 10)
        admission.finish(one, 10.0, step / 10)
    # 100 tokens a second leave 46 s of work.
    assert admission.expected_wait_s('a', SERVICE, 4.0) == pytest.approx(
        46.0, rel=0.05
    )
    with pytest.raises(RequestError) as caught:
        admission.submit(ticket('a', deadline_s=44.0), 4.0)
    assert caught.value.code == 'wait_exceeds_deadline'
    assert caught.value.retry_after_s == pytest.approx(26.0, rel=0.1)
    admission.submit(ticket('b', deadline_s=44.0), 4.0)


def test_token_rate_holds_on_average() -> None:
    """Guards against a rate limit that bursts or large requests bypass."""
    admission = Admission()
    account_limits = Limits(token_rate_per_s=10.0, token_burst_tokens=50)
    admission.set_limits('a', account_limits, 0.0)
    started_tokens = 0.0
    for step in range(1_000):
        now_s = step / 10
        if admission.waiting_count(SERVICE) < 5:
            admission.submit(ticket('a', 30.0, enqueued_s=now_s), now_s)
        one = first(admission, now_s)
        if one is not None:
            admission.start(one, now_s)
            admission.finish(one, 30.0, now_s)
            started_tokens += 30.0
    assert started_tokens <= 50 + 10.0 * 100 + 30.0
    assert started_tokens >= 10.0 * 100


class FairQueueMachine(stateful.RuleBasedStateMachine):
    """Compares admission with plain counts and a fairness bound."""

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
        one = ticket(account, float(tokens), deadline_s=self.now_s + 50.0)
        full = len(self.waiting[account]) >= 6
        if not self.waiting[account]:
            self.restart_comparison()
        try:
            self.admission.submit(one, self.now_s)
        except RequestError as error:
            assert full or error.code == 'wait_exceeds_deadline'
            assert error.not_run
            return
        assert not full
        self.waiting[account].append(one)

    @stateful.rule()
    def start(self) -> None:
        one = first(self.admission, self.now_s)
        blocked = [
            account
            for account in ACCOUNTS
            if sum(r.client_account_id == account for r in self.running) >= 3
        ]
        ready = [a for a in ACCOUNTS if self.waiting[a] and a not in blocked]
        if blocked:
            self.restart_comparison()
        if one is None:
            assert not ready
            return
        account = one.client_account_id
        assert account in ready
        assert one is self.waiting[account].pop(0)
        self.admission.start(one, self.now_s)
        self.running.append(one)
        self.served[account] += one.cost_tokens / WEIGHTS[account]
        if not self.waiting[account]:
            self.restart_comparison()

    @stateful.precondition(lambda self: self.running)
    @stateful.rule(data=st.data())
    def finish(self, data: st.DataObject) -> None:
        one = data.draw(st.sampled_from(self.running))
        self.running.remove(one)
        self.admission.finish(one, one.cost_tokens, self.now_s)

    @stateful.precondition(lambda self: any(self.waiting.values()))
    @stateful.rule(data=st.data())
    def withdraw(self, data: st.DataObject) -> None:
        everyone = [one for queue in self.waiting.values() for one in queue]
        one = data.draw(st.sampled_from(everyone))
        self.waiting[one.client_account_id].remove(one)
        self.admission.withdraw(one, self.now_s)
        self.restart_comparison()

    @stateful.rule(step_s=st.floats(0.0, 20.0))
    def expire(self, step_s: float) -> None:
        self.now_s += step_s
        expired = self.admission.expire(SERVICE, self.now_s)
        for queue in self.waiting.values():
            late = [one for one in queue if one.deadline_s <= self.now_s]
            for one in late:
                assert one in expired
                queue.remove(one)
        if expired:
            self.restart_comparison()

    @stateful.invariant()
    def counts_match(self) -> None:
        count = sum(len(queue) for queue in self.waiting.values())
        assert self.admission.waiting_count(SERVICE) == count
        for account in ACCOUNTS:
            running = [
                one for one in self.running if one.client_account_id == account
            ]
            assert self.admission.running_count(account) == len(running)
            assert len(running) <= 3
        assert all(one.state is TicketState.RUNNING for one in self.running)

    @stateful.invariant()
    def backlogged_accounts_are_served_alike(self) -> None:
        """While all wait, weighted service differs by one request at most."""
        gains = [self.served[a] - self.base[a] for a in ACCOUNTS]
        if all(self.waiting.values()):
            assert max(gains) - min(gains) <= 2 * 100.0


FairQueueMachine.TestCase.settings = hypothesis.settings(
    stateful_step_count=50
)
TestFairQueue = FairQueueMachine.TestCase


@pytest.mark.fuzz
def test_fair_queue_at_length() -> None:
    """Guards against faults that only long histories show."""
    stateful.run_state_machine_as_test(
        FairQueueMachine,
        settings=hypothesis.settings(
            max_examples=500, stateful_step_count=200, deadline=None
        ),
    )
