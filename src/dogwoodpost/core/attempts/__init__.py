"""Life cycle of attempts at entries and agents."""

from __future__ import annotations

from dogwoodpost.core.attempts.agent_attempts import AgentAttemptLimits
from dogwoodpost.core.attempts.agent_attempts import AgentAttempts
from dogwoodpost.core.attempts.agent_attempts import MAX_START_AGE_S
from dogwoodpost.core.attempts.agent_attempts import ResponseTooLargeError
from dogwoodpost.core.attempts.agent_record import AttemptKey
from dogwoodpost.core.attempts.agent_record import AttemptRecord
from dogwoodpost.core.attempts.entry_attempt import EntryAttempt
from dogwoodpost.core.attempts.entry_attempt import ResponsePart

__all__ = (
    'MAX_START_AGE_S',
    'AgentAttemptLimits',
    'AgentAttempts',
    'AttemptKey',
    'AttemptRecord',
    'EntryAttempt',
    'ResponsePart',
    'ResponseTooLargeError',
)
