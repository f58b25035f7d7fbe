"""Base class of the entries of all policies."""

from __future__ import annotations

import abc
import itertools
from typing import TYPE_CHECKING

import msgspec

from measurements.requests.environment import Attempt
from measurements.requests.workload import Request

if TYPE_CHECKING:
    from dogwoodpost.core.routing import EndpointListener
    from measurements.requests.environment import Environment
    from measurements.requests.user import Zone

MAX_ATTEMPT_COUNT = 3


class Record(msgspec.Struct, kw_only=True, eq=False):
    """Progress and outcome of a request."""

    request: Request
    attempt_count: int = 0
    outcome: str = ''
    wait_s: float = 0.0
    end_s: float = 0.0


class EntryBase(abc.ABC):
    """Keeps records and deadlines; subclasses place the attempts."""

    def __init__(self, environment: Environment, zone: Zone) -> None:
        self.environment = environment
        self.zone = zone
        self.records: list[Record] = []
        self._numbers = itertools.count()
        self._open_attempts: dict[int, Attempt] = {}
        self._records_by_number: dict[int, Record] = {}

    @property
    @abc.abstractmethod
    def listener(self) -> EndpointListener:
        """Return the listener that receives changes of the directory."""

    @abc.abstractmethod
    def place(self, record: Record) -> None:
        """Place a new request."""

    @abc.abstractmethod
    def retry(self, record: Record, attempt: Attempt) -> None:
        """Place a failed request again, or give up on it."""

    @abc.abstractmethod
    def on_attempt_closed(
        self, attempt: Attempt, *, failed: bool, cached_tokens: int
    ) -> None:
        """Handle the end of an attempt."""

    @abc.abstractmethod
    def on_closed(self, record: Record) -> None:
        """Handle the end of a request."""

    def arrive(self, request: Request) -> None:
        """Accept a request from a caller."""
        record = Record(request=request)
        self.records.append(record)
        self._records_by_number[request.number] = record
        self.environment.loop.at(
            request.arrival_s + request.timeout_s,
            lambda: self._expire(record),
        )
        self.place(record)

    def new_attempt_id(self) -> str:
        """Return a new, unique attempt id."""
        return f'{self.zone.name}-{next(self._numbers)}'

    def send(self, record: Record, endpoint_id: str, attempt_id: str) -> None:
        """Send a request to an endpoint as a new attempt."""
        attempt = Attempt(
            attempt_id=attempt_id,
            request=record.request,
            endpoint_id=endpoint_id,
            entry=self,
            sent_s=self.environment.loop.now_s,
        )
        record.attempt_count += 1
        self._open_attempts[record.request.number] = attempt
        self.environment.send(attempt)

    def attempt_ended(
        self, attempt: Attempt, ok: bool, cached_tokens: int
    ) -> None:
        """Handle the result of an attempt."""
        record = self._records_by_number[attempt.request.number]
        self._open_attempts.pop(attempt.request.number, None)
        self.on_attempt_closed(
            attempt, failed=not ok, cached_tokens=cached_tokens
        )
        if ok:
            # The wait is what the caller waits beyond the work of the
            # endpoint, including the network delay in both directions.
            elapsed_s = self.environment.loop.now_s - record.request.arrival_s
            record.wait_s = elapsed_s - attempt.served_s
            record.wait_s += 2 * self.environment.user.client_delay_s
            self.close(record, 'ok')
        elif attempt.request.idempotent:
            self.retry(record, attempt)
        else:
            self.close(record, 'unknown')

    def attempt_unknown(self, attempt: Attempt) -> None:
        """Handle an attempt whose agent has become unreachable."""
        self.attempt_ended(attempt, ok=False, cached_tokens=0)

    def close(self, record: Record, outcome: str) -> None:
        """End a request with an outcome."""
        record.outcome = outcome
        record.end_s = self.environment.loop.now_s
        self.on_closed(record)

    def _expire(self, record: Record) -> None:
        if record.outcome:
            return
        attempt = self._open_attempts.pop(record.request.number, None)
        if attempt is not None:
            self.environment.cancel(attempt)
            self.on_attempt_closed(attempt, failed=False, cached_tokens=0)
        self.close(record, 'expired')
