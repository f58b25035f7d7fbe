"""Messages between the processes of the system.

All are ``msgspec`` structs, encoded as MessagePack and distinguished by their
tag. Times are sent as durations, because hosts do not share a clock.
"""

from __future__ import annotations

from enum import Enum

import msgspec

from dogwoodpost.core import ids


class RefusalReason(Enum):
    """Why an agent did not run an attempt."""

    WRONG_INCARNATION = 'wrong_incarnation'
    DEADLINE_PASSED = 'deadline_passed'
    DRAINING = 'draining'
    CANCELLED = 'cancelled'
    OVERLOADED = 'overloaded'
    UNKNOWN_ENDPOINT = 'unknown_endpoint'
    DUPLICATE = 'duplicate'
    OUT_OF_ROTATION = 'out_of_rotation'


class AttemptOutcome(Enum):
    """How an attempt that ran has ended."""

    COMPLETED = 'completed'
    ENDPOINT_FAILED = 'endpoint_failed'
    CANCELLED = 'cancelled'
    DEADLINE_PASSED = 'deadline_passed'


class Message(msgspec.Struct, frozen=True, tag=True, kw_only=True):
    """Base of all messages; names the sender and where it listens."""

    sender_id: ids.ProcessId
    sender_incarnation: ids.Incarnation
    sender_address: str


class EndpointState(msgspec.Struct, frozen=True, kw_only=True):
    """Last state of an endpoint that its agent knows."""

    endpoint_id: ids.EndpointId
    service: ids.ServiceName
    weight_version: ids.WeightVersion | None = None
    ready: bool = True
    draining: bool = False


class AgentHello(Message, frozen=True, kw_only=True):
    """Heartbeat of an agent to an entry, with its endpoints.

    :param sequence: number of this heartbeat.
    :param echo_sequence: number of the last heartbeat received from the
        entry.
    :param weights_url: URL from which other agents fetch this agent's weights.
    """

    host_id: ids.HostId
    availability_zone: ids.AvailabilityZone
    region: ids.Region
    sequence: int
    echo_sequence: int
    endpoints: tuple[EndpointState, ...]
    leaving: bool = False
    weights_url: str = ''


class EntryHeartbeat(Message, frozen=True, kw_only=True):
    """Heartbeat of an entry to an agent.

    :param sequence: number of this heartbeat.
    :param echo_sequence: number of the last heartbeat received from the agent.
    :param fencing_numbers: for each shard, the highest number that the entry
        has read from the store since the agent's incarnation began.
    """

    sequence: int
    echo_sequence: int
    revision: ids.Revision
    fencing_numbers: dict[str, int] = msgspec.field(default_factory=dict)


class StartAttempt(Message, frozen=True, kw_only=True):
    """Asks an agent to run one attempt at one of its endpoints.

    :param remaining_ms: time until the request's deadline.
    :param hello_sequence: sequence number of the last ``AgentHello`` that the
        sender had received; it bounds the age of a copy that arrives late.
    """

    attempt_id: ids.AttemptId
    agent_incarnation: ids.Incarnation
    endpoint_id: ids.EndpointId
    client_account_id: ids.ClientAccountId | None
    method: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    remaining_ms: int
    idempotent: bool
    priority: int = 0
    hello_sequence: int = 0


class FetchAttempt(Message, frozen=True, kw_only=True):
    """Asks for the response of an attempt, from a chunk index onwards."""

    attempt_id: ids.AttemptId
    remaining_ms: int
    next_index: int
    agent_incarnation: ids.Incarnation = ids.Incarnation('')


class CancelAttempt(Message, frozen=True, kw_only=True):
    """Cancels an attempt; copies of it that arrive later do not run."""

    attempt_id: ids.AttemptId
    remaining_ms: int


class AcknowledgeAttempt(Message, frozen=True, kw_only=True):
    """Tells the agent that the response is complete and may be deleted."""

    attempt_id: ids.AttemptId


class AttemptRefused(Message, frozen=True, kw_only=True):
    """The attempt has not run and will not run at this agent."""

    attempt_id: ids.AttemptId
    reason: RefusalReason
    retry_after_ms: int | None = None


class AttemptMissing(Message, frozen=True, kw_only=True):
    """The agent does not know the attempt and will not run it from now on.

    :param restarted: whether an earlier incarnation of the agent may have run
        the attempt.
    """

    attempt_id: ids.AttemptId
    restarted: bool


class ResponseHead(Message, frozen=True, kw_only=True):
    """Status and headers of the endpoint's response."""

    attempt_id: ids.AttemptId
    status: int
    headers: tuple[tuple[str, str], ...]


class ResponseChunk(Message, frozen=True, kw_only=True):
    """A chunk of the response body; indexes start at 0."""

    attempt_id: ids.AttemptId
    index: int
    data: bytes


class ResponseEnd(Message, frozen=True, kw_only=True):
    """End of a response, with the number of its chunks."""

    attempt_id: ids.AttemptId
    chunk_count: int
    outcome: AttemptOutcome
    detail: str = ''
    weight_versions: tuple[ids.WeightVersion, ...] = ()
    prompt_tokens: int = 0
    cached_tokens: int = 0
    completion_tokens: int = 0


class EndpointLoad(msgspec.Struct, frozen=True, kw_only=True):
    """Load of one endpoint as its engine reported it."""

    endpoint_id: ids.EndpointId
    running_count: int
    waiting_count: int
    running_tokens: int = 0
    age_ms: int = 0
    weight_version: ids.WeightVersion | None = None


class LoadReport(Message, frozen=True, kw_only=True):
    """Loads of an agent's endpoints."""

    loads: tuple[EndpointLoad, ...]


class CacheEvents(Message, frozen=True, kw_only=True):
    """Changes of an endpoint's prefix cache, numbered without gaps."""

    endpoint_id: ids.EndpointId
    first_sequence: int
    stored: tuple[int, ...] = ()
    evicted: tuple[int, ...] = ()
    cleared: bool = False


class EndpointAction(Enum):
    """Orders to an engine."""

    LOAD_WEIGHTS = 'load_weights'
    SWITCH_WEIGHTS = 'switch_weights'
    LOAD_ADAPTER = 'load_adapter'
    LOAD_MODEL = 'load_model'
    SET_ROLE = 'set_role'
    DRAIN = 'drain'
    RESUME = 'resume'


class EndpointCommand(Message, frozen=True, kw_only=True):
    """An order to an endpoint with a fencing number; its agent runs it."""

    command_id: ids.OperationId
    shard: ids.ShardName
    fencing_number: ids.FencingNumber
    endpoint_id: ids.EndpointId
    action: EndpointAction
    argument: str = ''
    fetch_from: tuple[str, ...] = ()


class EndpointCommandResult(Message, frozen=True, kw_only=True):
    """Result of an order to an endpoint."""

    command_id: ids.OperationId
    endpoint_id: ids.EndpointId
    accepted: bool
    detail: str = ''
    highest_fencing_number: int = 0


class ConfigurationPush(Message, frozen=True, kw_only=True):
    """Announces a new revision to another entry.

    The receiver reads the revision if its own is older.
    """

    revision: ids.Revision


class FreshnessQuery(Message, frozen=True, kw_only=True):
    """Asks an entry how fresh its configuration is.

    :param revision: revision in force at the sender.
    """

    query_id: str
    revision: ids.Revision = ids.Revision(0)


class FreshnessReply(Message, frozen=True, kw_only=True):
    """How long ago the sender began its last successful store read.

    :param read_age_ms: time since then; None if the sender has read nothing
        yet.
    :param records: revisions that the asking entry lacks, as JSON rows; empty
        if the sender no longer has all of them.
    """

    query_id: str
    revision: ids.Revision
    read_age_ms: int | None
    records: tuple[bytes, ...] = ()


class Consumption(msgspec.Struct, frozen=True):
    """Cost in tokens that a client account has caused at a service.

    The cost is negative if requests were cheaper than estimated.
    """

    service: ids.ServiceName
    client_account_id: ids.ClientAccountId
    tokens: float


class AccountConsumption(Message, frozen=True, kw_only=True):
    """Cost that client accounts have caused since the last message."""

    items: tuple[Consumption, ...]


AnyMessage = (
    AgentHello
    | EntryHeartbeat
    | StartAttempt
    | FetchAttempt
    | CancelAttempt
    | AcknowledgeAttempt
    | AttemptRefused
    | AttemptMissing
    | ResponseHead
    | ResponseChunk
    | ResponseEnd
    | LoadReport
    | CacheEvents
    | EndpointCommand
    | EndpointCommandResult
    | ConfigurationPush
    | FreshnessQuery
    | FreshnessReply
    | AccountConsumption
)
