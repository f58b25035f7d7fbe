"""An entry and an agent with a faulty network between them."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from dogwoodpost.core import ids
from dogwoodpost.core import messages
from dogwoodpost.core.attempts.agent_attempts import AgentAttempts
from dogwoodpost.core.attempts.entry_attempt import EntryAttempt
from dogwoodpost.core.attempts.entry_attempt import EntryAttemptState
from dogwoodpost.core.attempts.hello_times import HelloTimes
from dogwoodpost.core.attempts.sender import Sender
from dogwoodpost.core.messages import AttemptOutcome

if TYPE_CHECKING:
    from dogwoodpost.core.messages import RefusalReason

ENTRY = Sender(
    process_id=ids.ProcessId('entry'),
    incarnation=ids.Incarnation('entry-1'),
    address='entry:1',
)


class Execution:
    """One run at the endpoint; its body is like no other."""

    def __init__(self, start: messages.StartAttempt, deadline_s: float):
        self.attempt_id = start.attempt_id
        self.deadline_s = deadline_s
        self.chunk_total = int(start.body)
        self.body: list[bytes] = []


class EntrySide:
    """An attempt at the entry, and the output that its caller has got."""

    def __init__(self, state: EntryAttempt) -> None:
        self.state = state
        self.output: list[messages.Message] = []
        self.abandoned = False

    @property
    def is_open(self) -> bool:
        return not self.abandoned and (
            self.state.state is EntryAttemptState.OPEN
        )

    def take(self) -> None:
        self.output += self.state.take()


class AttemptWorld:
    """The oracle counts what truly ran."""

    def __init__(self, *, max_id_count: int, retained_bytes: int) -> None:
        self.now_s = 0.0
        self.network: list[messages.Message] = []
        self.entry: dict[ids.AttemptId, EntrySide] = {}
        self.execution_count: Counter[ids.AttemptId] = Counter()
        self.whole_bodies: dict[ids.AttemptId, list[bytes]] = {}
        self.refusal: RefusalReason | None = None
        self.heard: messages.AgentHello | None = None
        self.max_id_count = max_id_count
        self.retained_bytes = retained_bytes
        self._agent_count = 0
        self._hello_count = 0
        self.restart_agent()
        self.deliver(self.hello())

    def restart_agent(self) -> None:
        self._agent_count += 1
        self.sender = Sender(
            process_id=ids.ProcessId('agent'),
            incarnation=ids.Incarnation(f'agent-{self._agent_count}'),
            address='agent:1',
        )
        self.hello_times = HelloTimes()
        self.agent = AgentAttempts(
            self.sender,
            self.hello_times,
            retained_bytes=self.retained_bytes,
            max_id_count=self.max_id_count,
        )
        self.running: dict[ids.AttemptId, Execution] = {}
        self._hello_count = 0

    def hello(self) -> messages.AgentHello:
        self._hello_count += 1
        self.hello_times.record(self._hello_count, self.now_s)
        return messages.AgentHello(
            **self.sender.fields(),
            host_id=ids.HostId('host'),
            availability_zone=ids.AvailabilityZone('zone'),
            region=ids.Region('region'),
            sequence=self._hello_count,
            echo_sequence=0,
            endpoints=(),
        )

    def start(self, chunk_total: int, timeout_s: float) -> None:
        assert self.heard is not None
        attempt_id = ids.AttemptId(f'attempt-{len(self.entry)}')
        state = EntryAttempt(
            attempt_id,
            self.heard.sender_incarnation,
            self.now_s + timeout_s,
            self.now_s,
            max_buffered_bytes=40,
        )
        self.entry[attempt_id] = EntrySide(state)
        start = messages.StartAttempt(
            **ENTRY.fields(),
            attempt_id=attempt_id,
            agent_incarnation=self.heard.sender_incarnation,
            endpoint_id=ids.EndpointId('endpoint'),
            client_account_id=None,
            method='POST',
            path='/',
            headers=(),
            body=str(chunk_total).encode(),
            remaining_ms=int(timeout_s * 1000),
            idempotent=True,
            heard_sequence=self.heard.sequence,
        )
        self.network.append(start)

    def abandon(self, side: EntrySide) -> None:
        """Cancel an attempt whose caller has gone."""
        side.abandoned = True
        cancel = messages.CancelAttempt(
            **ENTRY.fields(),
            attempt_id=side.state.attempt_id,
            remaining_ms=side.state.remaining_ms(self.now_s),
        )
        self.network.append(cancel)

    def advance(self, duration_s: float) -> None:
        self.now_s += duration_s
        for execution in tuple(self.running.values()):
            if self.now_s >= execution.deadline_s:
                self.finish(execution, AttemptOutcome.DEADLINE_PASSED)
        self.agent.expire(self.now_s)

    def tick_entry(self) -> None:
        for side in self.entry.values():
            if not side.is_open:
                continue
            if self.now_s >= side.state.deadline_s:
                side.state.give_up('deadline')
            side.take()
            if side.state.fetch_if_due(self.now_s):
                fetch = messages.FetchAttempt(
                    **ENTRY.fields(),
                    attempt_id=side.state.attempt_id,
                    remaining_ms=side.state.remaining_ms(self.now_s),
                    next_index=side.state.next_index,
                    agent_incarnation=side.state.agent_incarnation,
                )
                self.network.append(fetch)

    def produce(self, execution: Execution) -> None:
        """Let the endpoint send a chunk, or end if it has sent all."""
        index = len(execution.body)
        if index == 0:
            head = messages.ResponseHead(
                **self.sender.fields(),
                attempt_id=execution.attempt_id,
                status=200,
                headers=(),
            )
            self.agent.add_head(head)
            self.network.append(head)
        if index == execution.chunk_total:
            self.finish(execution, AttemptOutcome.COMPLETED)
            return
        data = f'{execution.attempt_id}/{index};'.encode()
        execution.body.append(data)
        chunk = messages.ResponseChunk(
            **self.sender.fields(),
            attempt_id=execution.attempt_id,
            index=index,
            data=data,
        )
        self.agent.add_chunk(chunk)
        self.network.append(chunk)

    def finish(self, execution: Execution, outcome: AttemptOutcome) -> None:
        del self.running[execution.attempt_id]
        if outcome is AttemptOutcome.COMPLETED:
            self.whole_bodies[execution.attempt_id] = execution.body
        end = messages.ResponseEnd(
            **self.sender.fields(),
            attempt_id=execution.attempt_id,
            chunk_count=len(execution.body),
            outcome=outcome,
        )
        self.agent.end(end)
        self.network.append(end)

    def deliver(self, message: messages.Message) -> None:
        if isinstance(message, messages.AgentHello):
            self._hear(message)
        elif isinstance(message, messages.StartAttempt):
            self._start_at_agent(message)
        elif isinstance(message, messages.FetchAttempt):
            self.network += self.agent.fetch(message, self.now_s)
        elif isinstance(message, messages.CancelAttempt):
            if self.agent.cancel(message, self.now_s):
                execution = self.running[message.attempt_id]
                self.finish(execution, AttemptOutcome.CANCELLED)
        elif isinstance(message, messages.AcknowledgeAttempt):
            self.agent.acknowledge(message.attempt_id)
        else:
            self._handle_at_entry(message)

    def deliver_all(self, *, are_starts_late: bool = False) -> None:
        """Deliver messages and their replies; late requests stay behind."""
        late: list[messages.Message] = []
        while self.network:
            message = self.network.pop(0)
            if are_starts_late and isinstance(message, messages.StartAttempt):
                late.append(message)
            else:
                self.deliver(message)
        self.network += late

    def _start_at_agent(self, message: messages.StartAttempt) -> None:
        decision = self.agent.start(message, self.now_s, self.refusal)
        self.network += decision.replies
        if decision.run:
            self.execution_count[message.attempt_id] += 1
            deadline_s = self.now_s + message.remaining_ms / 1000
            execution = Execution(message, deadline_s)
            self.running[message.attempt_id] = execution

    def _handle_at_entry(self, message: messages.Message) -> None:
        side = self.entry[message.attempt_id]
        if not side.is_open:
            return
        side.state.handle(message, self.now_s)
        side.take()
        if side.state.state is EntryAttemptState.ENDED:
            acknowledge = messages.AcknowledgeAttempt(
                **ENTRY.fields(), attempt_id=side.state.attempt_id
            )
            self.network.append(acknowledge)

    def _hear(self, hello: messages.AgentHello) -> None:
        if self.heard is not None:
            old = int(self.heard.sender_incarnation.rpartition('-')[2])
            new = int(hello.sender_incarnation.rpartition('-')[2])
            if (new, hello.sequence) < (old, self.heard.sequence):
                return
        self.heard = hello
        for side in self.entry.values():
            if side.state.agent_incarnation != hello.sender_incarnation:
                side.state.give_up('restarted')
